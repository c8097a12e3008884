/**
 * Computes the plan that an intent leads to from the configuration in force. Does not apply it.
 */
import type { Configuration, Intent, Placement, Plan } from "@crankfork/schemas";
import { createHash } from "node:crypto";
import { computePlacement } from "./computePlacement.js";

/** A plan, or the reasons why there is none. */
export type PlanningResult =
    | { readonly kind: "planned"; readonly plan: Plan; }
    | { readonly kind: "refused"; readonly reasons: readonly string[]; };

const DIGEST_LENGTH = 16;

/**
 * Creates a plan.
 * @param intent - what an operator asks for
 * @param present - the configuration in force
 * @returns the plan; deterministic for the same intent and version
 */
export function createPlan(intent: Intent, present: Configuration): PlanningResult {
    const { placements, faults } = computePlacement(intent.models, intent.upstreams, present.placements);
    if (faults.length > 0) {
        return { kind: "refused", reasons: faults.map(formatFault) };
    }
    const { id: intent_id, ...lists } = intent;
    const configuration = { ...lists, placements: [...placements], version: present.version + 1, intent_id };
    const digest = computeDigest(intent);
    const differences = formatDifferences(present, configuration);
    const base_version = present.version;
    const id = computeDigest({ intent_id, digest, base_version });
    return { kind: "planned", plan: { id, intent_id, digest, base_version, configuration, differences } };
}

/**
 * Formats the differences between two configurations, one per line.
 * @param from - the older one
 * @param to - the newer one
 * @returns lines for an operator; empty where they are equal
 */
export function formatDifferences(from: Configuration, to: Configuration): string[] {
    return [
        ...compareNamed("organisation", from.organisations, to.organisations, (one) => one.name),
        ...compareNamed("class bound", from.classes, to.classes, (one) => one.class),
        ...compareNamed("model", from.models, to.models, (one) => one.name),
        ...compareNamed("service", from.services, to.services, (one) => one.name),
        ...compareNamed("upstream", from.upstreams, to.upstreams, (one) => one.name),
        ...compareNamed("placement", from.placements, to.placements, formatPlacement),
    ];
}

function compareNamed<Item>(
    kind: string,
    from: readonly Item[],
    to: readonly Item[],
    getName: (item: Item) => string,
): string[] {
    const before = new Map(from.map((item) => [getName(item), JSON.stringify(item)]));
    const after = new Map(to.map((item) => [getName(item), JSON.stringify(item)]));
    const added = [...after.keys()].filter((name) => !before.has(name)).map((name) => `+ ${kind} ${name}`);
    const removed = [...before.keys()].filter((name) => !after.has(name)).map((name) => `- ${kind} ${name}`);
    const changed = [...after].filter(([name, text]) => before.has(name) && before.get(name) !== text);
    return [...removed, ...added, ...changed.map(([name]) => `~ ${kind} ${name}`)];
}

function formatPlacement(placement: Placement): string {
    const { model, version, first_layer, end_layer, upstream } = placement;
    return `${model}@${version} layers ${String(first_layer)}-${String(end_layer - 1)} on ${upstream}`;
}

function formatFault(fault: { model: string; neededLayers: number; foundLayers: number; }): string {
    return `model ${fault.model} needs memory for ${String(fault.neededLayers)} layers; `
        + `the engines left for it hold ${String(fault.foundLayers)}`;
}

function computeDigest(value: unknown): string {
    return createHash("sha256").update(JSON.stringify(value)).digest("hex").slice(0, DIGEST_LENGTH);
}
