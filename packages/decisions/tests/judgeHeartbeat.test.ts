import type { UpstreamIncarnation } from "@crankfork/schemas";
import { expect } from "chai";
import { type HeartbeatVerdict, type HeartbeatView, judgeHeartbeat } from "../src/index.js";

const untold: UpstreamIncarnation = { name: "u" };
const first: UpstreamIncarnation = { name: "u", started_at_ms: 10 };
const second: UpstreamIncarnation = { name: "u", started_at_ms: 20 };

/** A new upstream of a service that the document names, at an address that nobody holds. */
const newcomer: HeartbeatView = {
    life: second,
    service: "s",
    latest: undefined,
    isOver: false,
    registeredService: undefined,
    findHolder: () => undefined,
    countPeers: () => ({ all: 0, tellStart: 0 }),
    isServiceNamed: true,
};
const taken: HeartbeatVerdict = { kind: "taken" };
const lifeOver: HeartbeatVerdict = { kind: "overtaken", reason: "life-over" };
const noStart: HeartbeatVerdict = { kind: "foreign", reason: "no-start" };

const rows: readonly {
    readonly title: string;
    readonly change: Partial<HeartbeatView>;
    readonly verdict: HeartbeatVerdict;
}[] = [
    { title: "a new upstream", change: {}, verdict: taken },
    { title: "one that is registered", change: { latest: second, registeredService: "s" }, verdict: taken },
    { title: "a later life than the one that is registered", change: { latest: first }, verdict: taken },
    { title: "a later life than one that is over", change: { latest: first, isOver: false }, verdict: taken },
    { title: "an earlier life", change: { life: first, latest: second }, verdict: lifeOver },
    { title: "a life that is over", change: { latest: second, isOver: true }, verdict: lifeOver },
    { title: "no start, under a name that told none", change: { life: untold, latest: untold }, verdict: taken },
    { title: "no start, under a name that told one", change: { life: untold, latest: first }, verdict: noStart },
    {
        title: "a start, under a name that told none: a later release began to tell",
        change: { latest: untold },
        verdict: taken,
    },
    {
        title: "no start, a new name among upstreams that tell none",
        change: { life: untold, countPeers: () => ({ all: 4, tellStart: 0 }) },
        verdict: taken,
    },
    {
        title: "no start, a new name where half tell theirs: an older release",
        change: { life: untold, countPeers: () => ({ all: 4, tellStart: 2 }) },
        verdict: taken,
    },
    {
        title: "no start, a new name where most tell theirs",
        change: { life: untold, countPeers: () => ({ all: 4, tellStart: 3 }) },
        verdict: noStart,
    },
    {
        title: "a service that nothing names",
        change: { isServiceNamed: false },
        verdict: { kind: "foreign", reason: "unknown-service" },
    },
    {
        title: "a service that the document no longer names, of an upstream that is registered",
        change: { latest: second, registeredService: "s", isServiceNamed: false },
        verdict: taken,
    },
    {
        title: "another service than it registered for",
        change: { latest: second, registeredService: "other" },
        verdict: { kind: "foreign", reason: "other-service" },
    },
    {
        title: "an address whose upstream started earlier",
        change: { findHolder: () => ({ name: "v", started_at_ms: 15 }) },
        verdict: taken,
    },
    {
        title: "an address that a later start has taken over",
        change: { findHolder: () => ({ name: "v", started_at_ms: 25 }) },
        verdict: { kind: "overtaken", reason: "address-taken-over" },
    },
    {
        title: "an address held by one that tells no start",
        change: { findHolder: () => ({ name: "v" }) },
        verdict: taken,
    },
];

describe("a heartbeat counts where it is the notice of the latest life of an upstream", () => {
    for (const { title, change, verdict } of rows) {
        it(`${verdict.kind}: ${title}`, () => {
            expect(judgeHeartbeat({ ...newcomer, ...change })).to.deep.equal(verdict);
        });
    }
});
