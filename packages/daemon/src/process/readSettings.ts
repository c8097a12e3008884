/**
 * Reads the settings file of a process.
 */
import { parseToml, type Settings, settingsSchema, type ValidationResult } from "@crankfork/schemas";
import { readFileSync } from "node:fs";

/**
 * Reads and validates settings.
 * @param file - the TOML file
 * @returns the settings, or one line per fault
 */
export function readSettings(file: string): ValidationResult<Settings> {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        return { kind: "invalid", faults: [`${file}: found nothing to read; expected a TOML file (${reason})`] };
    }
    return parseToml(settingsSchema, text, file);
}
