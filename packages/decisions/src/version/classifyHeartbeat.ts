/**
 * Classifies heartbeats: whether one is from an upstream that runs now. Others are delayed, from a former incarnation of
 * an upstream, or from a sender that is not an upstream of this fleet; accepting one would route requests to where
 * nothing serves them. An incarnation is one run of an upstream's process.
 */
import { isEarlierIncarnation, type UpstreamIncarnation } from "@crankfork/schemas";

/** An incarnation that is registered at the address that another one reports. */
export interface AddressHolder {
    readonly incarnation: UpstreamIncarnation;
    /** Whether it has sent a heartbeat so recently that it may be running. */
    readonly isHeard: boolean;
}

/** What is known when a heartbeat arrives. */
export interface HeartbeatView {
    /** The incarnation that sent it. */
    readonly incarnation: UpstreamIncarnation;
    readonly service: string;
    /** The latest known incarnation of the same name; undefined where there is none. */
    readonly latest: UpstreamIncarnation | undefined;
    /** Whether this incarnation is known to have ended. */
    readonly hasEnded: boolean;
    /** Service under which this incarnation is registered; undefined for a new one. */
    readonly registeredService: string | undefined;
    /**
     * Finds the incarnation that is registered at the same address under another name; undefined where the sender holds that
     * address already.
     */
    readonly findHolder: () => AddressHolder | undefined;
    /**
     * Counts the upstreams of the service, and those that report their start time; called only for a sender that does
     * not.
     */
    readonly countServiceUpstreams: () => { readonly all: number; readonly tellStart: number; };
    /** Whether the operator's document contains the service; true while there is no document. */
    readonly isServiceNamed: boolean;
}

/** Classification of a heartbeat. */
export type HeartbeatVerdict =
    | { readonly kind: "taken"; }
    /** Delayed: nothing changes, and the sender need not repeat it. */
    | { readonly kind: "overtaken"; readonly reason: "life-over" | "address-taken-over" | "address-in-use"; }
    /** Not from an upstream of this fleet. */
    | { readonly kind: "foreign"; readonly reason: "no-start" | "other-service" | "unknown-service"; };

/**
 * Classifies a heartbeat.
 * @param view - what is known
 * @returns whether it is accepted
 */
export function classifyHeartbeat(view: HeartbeatView): HeartbeatVerdict {
    const { incarnation, latest } = view;
    if (isStartMissing(view)) {
        return { kind: "foreign", reason: "no-start" };
    }
    if (view.hasEnded || (latest !== undefined && isEarlierIncarnation(incarnation, latest))) {
        return { kind: "overtaken", reason: "life-over" };
    }
    if (view.registeredService !== undefined && view.registeredService !== view.service) {
        return { kind: "foreign", reason: "other-service" };
    }
    if (view.registeredService === undefined && !view.isServiceNamed) {
        return { kind: "foreign", reason: "unknown-service" };
    }
    const holder = view.findHolder();
    return holder === undefined ? { kind: "taken" } : compareWithHolder(incarnation, holder);
}

/**
 * An address is reused only after its former upstream has ended, so the incarnation that started later runs there. Unless both
 * report their start times, it is the one that goes on sending heartbeats.
 */
function compareWithHolder(incarnation: UpstreamIncarnation, holder: AddressHolder): HeartbeatVerdict {
    if (incarnation.started_at_ms === undefined || holder.incarnation.started_at_ms === undefined) {
        return holder.isHeard ? { kind: "overtaken", reason: "address-in-use" } : { kind: "taken" };
    }
    return isEarlierIncarnation(incarnation, holder.incarnation)
        ? { kind: "overtaken", reason: "address-taken-over" }
        : { kind: "taken" };
}

/**
 * An upstream reports its start time always or never. So a heartbeat without one is not from an upstream that has
 * reported it before; and a new name without one is not an upstream where most upstreams of the service report theirs.
 * A minority without start times may run an older release.
 */
function isStartMissing({ incarnation, latest, countServiceUpstreams: countPeers }: HeartbeatView): boolean {
    if (incarnation.started_at_ms !== undefined) {
        return false;
    }
    if (latest !== undefined) {
        return latest.started_at_ms !== undefined;
    }
    const { all, tellStart } = countPeers();
    return tellStart * 2 > all;
}
