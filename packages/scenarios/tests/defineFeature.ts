import { fileURLToPath } from "node:url";
import { readFeature, StepRegistry } from "../src/harness/gherkin.js";
import { World } from "../src/harness/world.js";
import { defineBadInputSteps } from "./steps/badInput.js";
import { defineClusterSteps } from "./steps/cluster.js";
import { defineOperatorSteps } from "./steps/operators.js";
import { defineRequestSteps } from "./steps/requests.js";

/**
 * Defines the tests of a feature. Each feature has its own test file, so that mocha runs features in parallel.
 * @param name - file name without extension
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
                // The timeout detects hangs, so a scenario of several parts gets the full timeout for each part.
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
