/**
 * Reads Gherkin features and runs their steps; each scenario, and each row of an outline, becomes one mocha test.
 */
import { CucumberExpression, ParameterTypeRegistry } from "@cucumber/cucumber-expressions";
import { AstBuilder, compile, GherkinClassicTokenMatcher, Parser } from "@cucumber/gherkin";
import { IdGenerator, type Pickle, type PickleStep } from "@cucumber/messages";
import { readFileSync } from "node:fs";

/** Implements a step; receives the parameters of its expression, then the rows of its data table if it has one. */
export type StepFunction<World> = (world: World, ...values: never[]) => Promise<void> | void;

interface StepDefinition<World> {
    readonly expression: CucumberExpression;
    readonly run: StepFunction<World>;
}

/** Registry of the step definitions that features can use. */
export class StepRegistry<World> {
    private readonly definitions: StepDefinition<World>[] = [];
    private readonly parameterTypes = new ParameterTypeRegistry();

    /**
     * Adds a step definition.
     * @param text - cucumber expression
     * @param run - implementation of the step
     */
    define(text: string, run: StepFunction<World>): void {
        this.definitions.push({ expression: new CucumberExpression(text, this.parameterTypes), run });
    }

    /**
     * Runs a step.
     * @param world - state of the scenario
     * @param step - the step
     * @throws Error unless exactly one definition matches
     */
    async run(world: World, step: PickleStep): Promise<void> {
        const matches = this.definitions.flatMap(({ expression, run }) => {
            const match = expression.match(step.text);
            return match === null ? [] : [{ run, values: match.map((value) => value.getValue(undefined)) }];
        });
        const [only] = matches;
        if (only === undefined || matches.length > 1) {
            throw new Error(`${String(matches.length)} step definitions match "${step.text}"; expected exactly one`);
        }
        const rows = step.argument?.dataTable?.rows.map((row) => row.cells.map((cell) => cell.value));
        await only.run(world, ...[...only.values, ...(rows === undefined ? [] : [rows])] as never[]);
    }
}

/** A feature's title and its scenarios, with outlines expanded to one scenario for each row. */
export interface Feature {
    readonly title: string;
    readonly scenarios: readonly Pickle[];
}

/**
 * Reads a feature file.
 * @param file - path of the file
 * @returns title and scenarios
 */
export function readFeature(file: string): Feature {
    const createId = IdGenerator.incrementing();
    const parser = new Parser(new AstBuilder(createId), new GherkinClassicTokenMatcher());
    const document = parser.parse(readFileSync(file, "utf8"));
    return { title: document.feature?.name ?? file, scenarios: compile(document, file, createId) };
}
