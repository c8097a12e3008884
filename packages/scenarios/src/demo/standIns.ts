/**
 * `npm run stand-ins`: runs the upstreams that `examples/single-intent.toml` names, until interrupted.
 * The upstreams end with this process.
 */
import { startStandIn } from "../harness/processes.js";

const FIRST_PORT = 9_101;
const model_layers = { "teller-llm": 12 };

const standIns = await Promise.all([
    startStandIn("engine", { name: "engine-1", port: FIRST_PORT, model_layers }),
    startStandIn("engine", { name: "engine-2", port: FIRST_PORT + 1, model_layers }),
    startStandIn("service", { port: FIRST_PORT + 2 }),
]);
standIns.forEach(({ address }) => {
    console.log(`listening on ${address}`);
});
