/**
 * One life of an upstream: the name that it registers under, with the time of its start. A later start may use the name
 * again; it then holds and knows nothing of before.
 */
import * as z from "zod";

/** A life as logs and messages hold it. */
export const upstreamIncarnationSchema = z.object({
    /** What it registers under. */
    name: z.string(),
    /** Unix time of its start, in milliseconds; left out where it doesn't tell. */
    started_at_ms: z.int().nonnegative().optional(),
});

/** One life of an upstream. */
export type UpstreamIncarnation = z.infer<typeof upstreamIncarnationSchema>;

/**
 * Formats a life as the id under which state is kept, so that nothing of one life is taken for another's.
 * @param life - the life
 * @returns the name alone where it doesn't tell its start
 */
export function formatIncarnationId({ name, started_at_ms }: UpstreamIncarnation): string {
    return started_at_ms === undefined ? name : `${name}@${String(started_at_ms)}`;
}

/**
 * Tells whether one life of a name was overtaken by another.
 * @param life - the one
 * @param other - the other, of the same name
 * @returns true where the other started later; one that doesn't tell its start comes before all that do
 */
export function isEarlierIncarnation(life: UpstreamIncarnation, other: UpstreamIncarnation): boolean {
    return (life.started_at_ms ?? UNTOLD) < (other.started_at_ms ?? UNTOLD);
}

/**
 * Tells whether a start that something says of itself may be that of a life.
 * @param life - the life
 * @param startedAtMs - the start; undefined where none is told
 * @returns false where the life tells another one
 */
export function matchesStart(life: UpstreamIncarnation, startedAtMs: number | undefined): boolean {
    return life.started_at_ms === undefined || life.started_at_ms === startedAtMs;
}

/**
 * Gets the life of an upstream.
 * @param upstream - its facts; those written before lives were told have an id alone
 * @returns the life
 */
export function getIncarnation(
    { id, life }: { readonly id: string; readonly life?: UpstreamIncarnation | undefined; },
): UpstreamIncarnation {
    return life ?? { name: id };
}

/** Before any start that is told. */
const UNTOLD = -1;
