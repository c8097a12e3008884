import type { UpstreamIncarnation } from "@crankfork/schemas";
import { expect } from "chai";
import { type AddressHolder, classifyHeartbeat, type HeartbeatVerdict, type HeartbeatView } from "../src/index.js";

const withoutStart: UpstreamIncarnation = { name: "u" };
const first: UpstreamIncarnation = { name: "u", started_at_ms: 10 };
const second: UpstreamIncarnation = { name: "u", started_at_ms: 20 };

/** A new upstream of a service in the document, at an unused address. */
const newUpstream: HeartbeatView = {
    incarnation: second,
    service: "s",
    latest: undefined,
    hasEnded: false,
    registeredService: undefined,
    findHolder: () => undefined,
    countServiceUpstreams: () => ({ all: 0, tellStart: 0 }),
    isServiceNamed: true,
};
const createHolder = (incarnation: UpstreamIncarnation, isHeard: boolean = true): AddressHolder => ({
    incarnation,
    isHeard,
});
const taken: HeartbeatVerdict = { kind: "taken" };
const incarnationEnded: HeartbeatVerdict = { kind: "overtaken", reason: "life-over" };
const noStart: HeartbeatVerdict = { kind: "foreign", reason: "no-start" };

const rows: readonly {
    readonly title: string;
    readonly change: Partial<HeartbeatView>;
    readonly verdict: HeartbeatVerdict;
}[] = [
    { title: "a new upstream", change: {}, verdict: taken },
    { title: "a registered upstream", change: { latest: second, registeredService: "s" }, verdict: taken },
    { title: "a later incarnation than the registered one", change: { latest: first }, verdict: taken },
    {
        title: "a later incarnation than one that has ended",
        change: { latest: first, hasEnded: false },
        verdict: taken,
    },
    { title: "an earlier incarnation", change: { incarnation: first, latest: second }, verdict: incarnationEnded },
    { title: "an incarnation that has ended", change: { latest: second, hasEnded: true }, verdict: incarnationEnded },
    {
        title: "no start time, under a name that never reported one",
        change: { incarnation: withoutStart, latest: withoutStart },
        verdict: taken,
    },
    {
        title: "no start time, under a name that reported one",
        change: { incarnation: withoutStart, latest: first },
        verdict: noStart,
    },
    {
        title: "a start time, under a name that never reported one: a later release began to report it",
        change: { latest: withoutStart },
        verdict: taken,
    },
    {
        title: "no start time, a new name among upstreams that report none",
        change: { incarnation: withoutStart, countServiceUpstreams: () => ({ all: 4, tellStart: 0 }) },
        verdict: taken,
    },
    {
        title: "no start time, a new name where half report theirs: an older release",
        change: { incarnation: withoutStart, countServiceUpstreams: () => ({ all: 4, tellStart: 2 }) },
        verdict: taken,
    },
    {
        title: "no start time, a new name where most report theirs",
        change: { incarnation: withoutStart, countServiceUpstreams: () => ({ all: 4, tellStart: 3 }) },
        verdict: noStart,
    },
    {
        title: "a service that the document does not contain",
        change: { isServiceNamed: false },
        verdict: { kind: "foreign", reason: "unknown-service" },
    },
    {
        title: "a service that the document no longer contains, of a registered upstream",
        change: { latest: second, registeredService: "s", isServiceNamed: false },
        verdict: taken,
    },
    {
        title: "another service than the registered one",
        change: { latest: second, registeredService: "other" },
        verdict: { kind: "foreign", reason: "other-service" },
    },
    {
        title: "an address whose upstream started earlier",
        change: { findHolder: () => createHolder({ name: "v", started_at_ms: 15 }) },
        verdict: taken,
    },
    {
        title: "an address that an upstream with a later start has taken over",
        change: { findHolder: () => createHolder({ name: "v", started_at_ms: 25 }) },
        verdict: { kind: "overtaken", reason: "address-taken-over" },
    },
    {
        title: "an address held by an upstream that reports no start time and goes on sending heartbeats",
        change: { findHolder: () => createHolder({ name: "v" }) },
        verdict: { kind: "overtaken", reason: "address-in-use" },
    },
    {
        title: "an address held by an upstream that reports no start time and is silent",
        change: { findHolder: () => createHolder({ name: "v" }, false) },
        verdict: taken,
    },
    {
        title: "no start time, at the address of an upstream that goes on sending heartbeats",
        change: { incarnation: withoutStart, findHolder: () => createHolder({ name: "v" }) },
        verdict: { kind: "overtaken", reason: "address-in-use" },
    },
    {
        title: "no start time, at the address of an upstream that is silent",
        change: { incarnation: withoutStart, findHolder: () => createHolder({ name: "v" }, false) },
        verdict: taken,
    },
];

describe("a heartbeat is accepted from the latest incarnation of an upstream", () => {
    for (const { title, change, verdict } of rows) {
        it(`${verdict.kind}: ${title}`, () => {
            expect(classifyHeartbeat({ ...newUpstream, ...change })).to.deep.equal(verdict);
        });
    }
});
