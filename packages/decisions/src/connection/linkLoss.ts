/**
 * Whether the links from one failure domain to another lose packets, judged by the events of the streams that entries
 * of the first read from engines of the second.
 *
 * Load pattern: for some seconds the links of one failure domain lose a few packets in 100. A lost packet is sent again
 * after 200 ms or more (RFC 6298), so with an event every 60 to 90 ms each loss exceeds the 250 ms that callers allow
 * between two events. Of 43 to 63 events nearly every stream over such a link loses one.
 *
 * The limits follow from that: at 1 late event in 100 a stream of 50 events is late with a probability of 0.4. Engines
 * that are busy or down make streams of all domains late, also those inside their own domain, so that a link has to be
 * four times as bad as the links inside the domains.
 */

/** Events of streams and those of them that came late, per second. */
export interface LinkRates {
    readonly eventsPerS: number;
    readonly gapsPerS: number;
}

/** What is known of the links between two domains. */
export interface LinkView extends LinkRates {
    /** Entries that saw late events. */
    readonly reporters: number;
    /** Rates without the entry that saw the most late events, since its counts may be wrong. */
    readonly withoutLargest: LinkRates;
    /** Share of late events inside the domains; see {@link computeInsideShare}. */
    readonly insideShare: number;
}

/** A pair of domains whose links lose packets. */
export interface LinkLoss {
    /** When it was detected, on the monotonic clock. */
    readonly beganMs: number;
    /** When events were last seen over these links. */
    readonly observedMs: number;
    /** Since when few events are late; undefined while many are, or there are none. */
    readonly goodSinceMs: number | undefined;
    /** Events since then. */
    readonly goodEvents: number;
}

/** How many entries and events a decision needs. */
export interface LinkEvidence {
    /** Entries that must have seen late events before a loss counts. */
    readonly minReporters: number;
    /** Events with few late ones among them before a loss ends. */
    readonly minGoodEvents: number;
}

/** For sums over all entries: a single entry's counts may be wrong. */
export const fleetLinkEvidence: LinkEvidence = { minReporters: 2, minGoodEvents: 0 };
/**
 * For an entry's own counts: it sees some events a second over a link that it avoids, and fewer than 100 do not show
 * whether 1 in 100 is late.
 */
export const entryLinkEvidence: LinkEvidence = { minReporters: 1, minGoodEvents: 100 };

/** Share of late events from which a link loses packets. */
const LOSING_SHARE = 0.01;
/** Factor over the share inside the domains. */
const INSIDE_FACTOR = 4;
/** Lowest share inside the domains; with fewer late events than this the comparison would depend on single ones. */
const MIN_INSIDE_SHARE = 0.001;
/** Late events within the last two seconds; fewer may come from one short disturbance. */
const MIN_LATE_EVENTS = 20;
const LATE_EVENT_WINDOW_S = 2;
/** Part of the late events that entries other than the one with the most must have seen. */
const OTHERS_PART = 0.25;
/** Recovery: the share of late events is below this part of the one from which a link loses packets, for {@link RECOVERY_MS}. */
const RECOVERED_PART = 0.5;
const RECOVERY_MS = 1_000;
const MS_PER_SECOND = 1_000;
/** Rate of events below which they show nothing about a link. */
const MIN_EVENTS_PER_S = 1;
/** Links without events for this long count as working again; the next streams show whether they are. */
const UNOBSERVED_MS = 10_000;

/**
 * Computes the share of late events.
 * @param rates - the rates
 * @returns from 0 to 1; 0 without events
 */
export function computeLateShare({ eventsPerS, gapsPerS }: LinkRates): number {
    return eventsPerS <= 0 ? 0 : Math.min(1, gapsPerS / eventsPerS);
}

/**
 * Computes the share of late events inside the domains with which a pair is compared.
 * @param rates - rates inside all domains together, inside the entries' domain, and inside the engines' domain
 * @returns the largest share: engines that make the streams of their own domain late are no fault of a link
 */
export function computeInsideShare(rates: readonly LinkRates[]): number {
    const known = rates.filter(({ eventsPerS }) => eventsPerS >= MIN_EVENTS_PER_S);
    return Math.max(MIN_INSIDE_SHARE, ...known.map(computeLateShare));
}

/**
 * Updates what is known of a pair of domains.
 * @param loss - the current loss; undefined where the links work
 * @param view - rates of the pair
 * @param evidence - what the decision needs
 * @param nowMs - the monotonic clock
 * @returns the loss; undefined where the links work
 */
export function updateLinkLoss(
    loss: LinkLoss | undefined,
    view: LinkView,
    evidence: LinkEvidence,
    nowMs: number,
): LinkLoss | undefined {
    if (loss === undefined) {
        return isLosing(view, evidence.minReporters) ? createLinkLoss(nowMs, nowMs) : undefined;
    }
    if (view.eventsPerS < MIN_EVENTS_PER_S) {
        return nowMs - loss.observedMs > UNOBSERVED_MS ? undefined : { ...loss, goodSinceMs: undefined, goodEvents: 0 };
    }
    const isGood = computeLateShare(view) < computeMinShare(view) * RECOVERED_PART;
    const goodSinceMs = isGood ? loss.goodSinceMs ?? nowMs : undefined;
    const newEvents = view.eventsPerS * (nowMs - loss.observedMs) / MS_PER_SECOND;
    const goodEvents = isGood && loss.goodSinceMs !== undefined ? loss.goodEvents + newEvents : 0;
    const isOver = goodSinceMs !== undefined && nowMs - goodSinceMs >= RECOVERY_MS
        && goodEvents >= evidence.minGoodEvents;
    return isOver ? undefined : { beganMs: loss.beganMs, observedMs: nowMs, goodSinceMs, goodEvents };
}

/**
 * Creates a loss.
 * @param beganMs - when it was detected
 * @param nowMs - the monotonic clock
 * @returns the loss
 */
export function createLinkLoss(beganMs: number, nowMs: number): LinkLoss {
    return { beganMs, observedMs: nowMs, goodSinceMs: undefined, goodEvents: 0 };
}

function computeMinShare({ insideShare }: LinkView): number {
    return Math.max(LOSING_SHARE, INSIDE_FACTOR * insideShare);
}

function isLosing(view: LinkView, minReporters: number): boolean {
    const minShare = computeMinShare(view);
    const minGapsPerS = MIN_LATE_EVENTS / LATE_EVENT_WINDOW_S;
    const isShown = view.gapsPerS >= minGapsPerS && computeLateShare(view) >= minShare;
    const { withoutLargest } = view;
    const isConfirmed = minReporters <= 1
        || (withoutLargest.gapsPerS >= minGapsPerS * OTHERS_PART && computeLateShare(withoutLargest) >= minShare);
    return isShown && view.reporters >= minReporters && isConfirmed;
}
