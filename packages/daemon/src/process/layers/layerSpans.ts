/**
 * Helpers for the layers that engines hold.
 */
import type { LayerSpan } from "@crankfork/schemas";

/**
 * Formats the held layers for a log line.
 * @param facts - an upstream's facts
 * @returns such as `0-16`, or undefined if it holds none
 */
export function formatSpan(facts: { readonly held?: LayerSpan | undefined; }): string | undefined {
    return facts.held === undefined ? undefined : `${String(facts.held.first)}-${String(facts.held.end)}`;
}

/**
 * Tells whether two spans are the same.
 * @param one - the first span
 * @param other - the second span
 * @returns true also if both are undefined
 */
export function isSameSpan(one: LayerSpan | undefined, other: LayerSpan | undefined): boolean {
    return one?.first === other?.first && one?.end === other?.end;
}

/**
 * Tells whether a span lies within another.
 * @param inner - the span
 * @param outer - the enclosing span
 * @returns true also if both are the same
 */
export function isWithin(inner: LayerSpan, outer: LayerSpan): boolean {
    return outer.first <= inner.first && inner.end <= outer.end;
}
