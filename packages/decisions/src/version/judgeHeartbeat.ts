/**
 * Whether a heartbeat is the notice of an upstream that runs now. Heartbeats come late, from lives that are over, and from
 * writers that are no upstreams of this fleet; each of these would send requests to where nothing runs them.
 */
import { isEarlierIncarnation, type UpstreamIncarnation } from "@crankfork/schemas";

/** What is known when a heartbeat comes. */
export interface HeartbeatView {
    /** The life that speaks. */
    readonly life: UpstreamIncarnation;
    readonly service: string;
    /** The latest life of the same name; undefined where none is remembered. */
    readonly latest: UpstreamIncarnation | undefined;
    /** Whether this life is over. */
    readonly isOver: boolean;
    /** Service of this life as it registered; undefined where it is new. */
    readonly registeredService: string | undefined;
    /** Finds the life that is registered at the same address under another name; asked only for what is new there. */
    readonly findHolder: () => UpstreamIncarnation | undefined;
    /** Counts the upstreams of the service, and those that tell when they started; asked only for what doesn't. */
    readonly countPeers: () => { readonly all: number; readonly tellStart: number; };
    /** Whether the operator's document names the service; true as long as there is no document. */
    readonly isServiceNamed: boolean;
}

/** What becomes of a heartbeat. */
export type HeartbeatVerdict =
    | { readonly kind: "taken"; }
    /** It came late; nothing changes, and its sender need not send it again. */
    | { readonly kind: "overtaken"; readonly reason: "life-over" | "address-taken-over"; }
    /** It is no upstream's notice. */
    | { readonly kind: "foreign"; readonly reason: "no-start" | "other-service" | "unknown-service"; };

/**
 * Judges a heartbeat.
 * @param view - what is known
 * @returns whether it counts
 */
export function judgeHeartbeat(view: HeartbeatView): HeartbeatVerdict {
    const { life, latest } = view;
    if (isStartMissing(view)) {
        return { kind: "foreign", reason: "no-start" };
    }
    if (view.isOver || (latest !== undefined && isEarlierIncarnation(life, latest))) {
        return { kind: "overtaken", reason: "life-over" };
    }
    if (view.registeredService !== undefined && view.registeredService !== view.service) {
        return { kind: "foreign", reason: "other-service" };
    }
    if (view.registeredService === undefined && !view.isServiceNamed) {
        return { kind: "foreign", reason: "unknown-service" };
    }
    // An address is used again only after its former upstream has ended, so the later start runs there.
    const holder = life.started_at_ms === undefined ? undefined : view.findHolder();
    return holder !== undefined && isEarlierIncarnation(life, holder)
        ? { kind: "overtaken", reason: "address-taken-over" }
        : { kind: "taken" };
}

/**
 * An upstream tells its start always or never. So one that told it is not the writer of a heartbeat without; and a new name
 * without is no upstream where most of its service tell theirs. A few that don't may be of an older release.
 */
function isStartMissing({ life, latest, countPeers }: HeartbeatView): boolean {
    if (life.started_at_ms !== undefined) {
        return false;
    }
    if (latest !== undefined) {
        return latest.started_at_ms !== undefined;
    }
    const { all, tellStart } = countPeers();
    return tellStart * 2 > all;
}
