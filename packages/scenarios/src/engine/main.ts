/**
 * Runs a stand-in engine as a process: `node main.js '{"name":"e1", ...}'`. Prints the address of the engine as JSON.
 */
import { openEngine } from "./engineServer.js";
import { engineSettingsSchema } from "./engineSettings.js";

const settings = engineSettingsSchema.parse(JSON.parse(process.argv[2] ?? "{}"));
const { address } = await openEngine(settings);
process.stdout.write(`${JSON.stringify({ address })}\n`);
