import { expect } from "chai";
import {
    computeInsideShare,
    createLinkLoss,
    entryLinkEvidence,
    fleetLinkEvidence,
    type LinkRates,
    type LinkView,
    updateLinkLoss,
} from "../src/index.js";

const createRates = (eventsPerS: number, gapsPerS: number): LinkRates => ({ eventsPerS, gapsPerS });
const lossy: LinkView = {
    ...createRates(1_000, 40),
    reporters: 20,
    withoutLargest: createRates(950, 38),
    insideShare: 0.001,
};

describe("links lose packets where far more events are late than inside the domains", () => {
    const rows: readonly { readonly title: string; readonly view: Partial<LinkView>; readonly isLosing: boolean; }[] = [
        { title: "4 in 100 late", view: {}, isLosing: true },
        { title: "1 in 100 late", view: { gapsPerS: 10, withoutLargest: createRates(950, 9.6) }, isLosing: true },
        {
            title: "fewer than 1 in 100",
            view: { gapsPerS: 9.9, withoutLargest: createRates(950, 9.6) },
            isLosing: false,
        },
        { title: "fewer than 20 in two seconds", view: { eventsPerS: 100, gapsPerS: 9.9 }, isLosing: false },
        { title: "four times as many as inside", view: { insideShare: 0.01 }, isLosing: true },
        { title: "less than that, since engines are slow", view: { insideShare: 0.011 }, isLosing: false },
        { title: "seen by one entry", view: { reporters: 1 }, isLosing: false },
        {
            title: "nearly all seen by one entry, whose counts may be wrong",
            view: { withoutLargest: createRates(950, 2) },
            isLosing: false,
        },
        {
            title: "an invalid count of one entry beside few late events of the others",
            view: { gapsPerS: 1_000, withoutLargest: createRates(950, 5) },
            isLosing: false,
        },
        { title: "no events", view: createRates(0, 0), isLosing: false },
    ];
    for (const { title, view, isLosing } of rows) {
        it(title, () => {
            expect(updateLinkLoss(undefined, { ...lossy, ...view }, fleetLinkEvidence, 5) !== undefined).to.equal(
                isLosing,
            );
        });
    }
});

describe("a loss ends once few events were late for a second", () => {
    const rows = [
        { title: "few late", rates: createRates(40, 0.1), evidence: fleetLinkEvidence, endMs: 1_100 },
        { title: "half of the limit", rates: createRates(40, 0.2), evidence: fleetLinkEvidence, endMs: undefined },
        { title: "an entry's own few events", rates: createRates(5, 0), evidence: entryLinkEvidence, endMs: 20_100 },
        { title: "no events, for ten seconds", rates: createRates(0, 0), evidence: fleetLinkEvidence, endMs: 10_100 },
        {
            title: "engines inside are slow, too",
            rates: createRates(40, 0.5),
            insideShare: 0.01,
            evidence: fleetLinkEvidence,
            endMs: 1_100,
        },
    ];
    for (const { title, rates, evidence, endMs, insideShare = 0.001 } of rows) {
        it(title, () => {
            let loss: ReturnType<typeof updateLinkLoss> = createLinkLoss(0, 0);
            let nowMs = 0;
            while (loss !== undefined && nowMs < 30_000) {
                nowMs += 100;
                loss = updateLinkLoss(loss, { ...lossy, ...rates, insideShare }, evidence, nowMs);
            }
            expect(loss === undefined ? nowMs : undefined).to.equal(endMs);
        });
    }
});

describe("the share inside the domains is the largest of those compared", () => {
    const rows = [
        { title: "at least 1 in 1,000", rates: [createRates(100, 0)], share: 0.001 },
        { title: "the largest", rates: [createRates(100, 1), createRates(100, 3)], share: 0.03 },
        { title: "not of single events", rates: [createRates(0.5, 0.5)], share: 0.001 },
    ];
    for (const { title, rates, share } of rows) {
        it(title, () => {
            expect(computeInsideShare(rates)).to.equal(share);
        });
    }
});
