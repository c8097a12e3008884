/**
 * Small questions about the layers that engines hold.
 */
import type { LayerSpan } from "@crankfork/schemas";

/**
 * Formats layers for a log line.
 * @param facts - what an upstream says of itself
 * @returns such as `0-16`, or undefined where it holds none
 */
export function formatSpan(facts: { readonly held?: LayerSpan | undefined; }): string | undefined {
    return facts.held === undefined ? undefined : `${String(facts.held.first)}-${String(facts.held.end)}`;
}

/**
 * Tells whether two engines hold the same layers.
 * @param one - what one holds
 * @param other - what the other holds
 * @returns true also where neither holds any
 */
export function isSameSpan(one: LayerSpan | undefined, other: LayerSpan | undefined): boolean {
    return one?.first === other?.first && one?.end === other?.end;
}

/**
 * Tells whether some layers are among others.
 * @param inner - the layers
 * @param outer - the others
 * @returns true also where they are the same
 */
export function isWithin(inner: LayerSpan, outer: LayerSpan): boolean {
    return outer.first <= inner.first && inner.end <= outer.end;
}
