import { fileURLToPath } from "node:url";
import { readFeatures, StepRegistry } from "../src/harness/gherkin.js";
import { World } from "../src/harness/world.js";
import { defineBadInputSteps } from "./steps/badInput.js";
import { defineClusterSteps } from "./steps/cluster.js";
import { defineOperatorSteps } from "./steps/operators.js";
import { defineRequestSteps } from "./steps/requests.js";

const folder = fileURLToPath(new URL("../../tests/features", import.meta.url));
const registry = new StepRegistry<World>();
defineClusterSteps(registry);
defineRequestSteps(registry);
defineOperatorSteps(registry);
defineBadInputSteps(registry);

for (const [feature, scenarios] of readFeatures(folder)) {
    describe(feature, () => {
        for (const scenario of scenarios) {
            it(scenario.name, async () => {
                const world = new World();
                try {
                    for (const step of scenario.steps) {
                        await registry.run(world, step);
                    }
                }
                finally {
                    await world.close();
                }
            });
        }
    });
}
