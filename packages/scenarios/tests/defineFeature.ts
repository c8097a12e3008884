import { fileURLToPath } from "node:url";
import { readFeature, StepRegistry } from "../src/harness/gherkin.js";
import { World } from "../src/harness/world.js";
import { defineBadInputSteps } from "./steps/badInput.js";
import { defineClusterSteps } from "./steps/cluster.js";
import { defineOperatorSteps } from "./steps/operators.js";
import { defineRequestSteps } from "./steps/requests.js";

/**
 * Defines the tests of one feature. Each feature has a test file of its own, so that mocha runs them side by side.
 * @param name - the file's name, without its ending
 */
export function defineFeature(name: string): void {
    const registry = new StepRegistry<World>();
    defineClusterSteps(registry);
    defineRequestSteps(registry);
    defineOperatorSteps(registry);
    defineBadInputSteps(registry);
    const { title, scenarios } = readFeature(
        fileURLToPath(new URL(`../../tests/features/${name}.feature`, import.meta.url)),
    );
    describe(title, () => {
        for (const scenario of scenarios) {
            it(scenario.name, async function() {
                const world = new World();
                const startMs = performance.now();
                const limitMs = this.timeout();
                // A limit is there to find what is stuck, so a scenario of many parts gets it anew for each part.
                world.reportProgress = () => {
                    this.timeout(performance.now() - startMs + limitMs);
                };
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
