/**
 * Reads the settings file of a process.
 */
import { type Checked, parseToml, type Settings, settingsSchema } from "@crankfork/schemas";
import { readFileSync } from "node:fs";

/**
 * Reads and validates settings.
 * @param file - the TOML file
 * @returns the settings, or one line per fault
 */
export function readSettings(file: string): Checked<Settings> {
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
