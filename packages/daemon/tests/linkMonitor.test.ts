import { FleetState } from "@crankfork/coordination";
import { synchroniseParametersSchema, type SynchroniseResult } from "@crankfork/schemas";
import { expect } from "chai";
import { LinkMonitor } from "../src/process/entry/linkMonitor.js";
import { EntryRegistry } from "../src/process/voter/entryRegistry.js";
import type { FleetReplicaHost } from "../src/process/voter/fleetProposal.js";
import { LinkRegistry } from "../src/process/voter/linkRegistry.js";
import { noRollout } from "./configurationFakes.js";
import { noLimits } from "./limitFakes.js";

describe("an entry counts events that come late as after a lost packet", () => {
    const usual = Array.from({ length: 20 }, () => 75);
    const rows: readonly {
        readonly title: string;
        /** Gaps before the events of one stream. */
        readonly gaps: readonly number[];
        /** Streams that get these events together. */
        readonly streams?: number;
        /** The process did not run before the last event. */
        readonly pauseMs?: number;
        readonly late: number;
    }[] = [
        { title: "none late", gaps: usual, late: 0 },
        { title: "one late, the ones behind it come with it", gaps: [...usual, 275, 0, 0, 25, 75], late: 1 },
        { title: "resent twice", gaps: [...usual, 675], late: 1 },
        { title: "each late one", gaps: [...usual, 275, 75, 275], late: 2 },
        { title: "just not late", gaps: [...usual, 189], late: 0 },
        { title: "an engine that was down for longer", gaps: [...usual, 1_001], late: 0 },
        { title: "an engine that was silent to all streams of the path", gaps: [...usual, 400], streams: 5, late: 1 },
        { title: "a slow path", gaps: [...usual, 150, 200], late: 0 },
        { title: "a path that was slow some seconds ago", gaps: [...usual, 150, ...usual, 200], late: 1 },
        { title: "a path with such gaps as a rule", gaps: Array.from({ length: 20 }, () => 210), late: 0 },
        { title: "this process did not run", gaps: [...usual, 200], pauseMs: 130, late: 0 },
        { title: "this process did not run for a moment", gaps: [...usual, 200], pauseMs: 70, late: 1 },
    ];
    for (const { title, gaps, streams = 1, pauseMs = 0, late } of rows) {
        it(title, () => {
            let nowMs = 0;
            const monitor = new LinkMonitor({ domain: "a", getNowMs: () => nowMs });
            const trackers = Array.from({ length: streams }, () => monitor.follow("p", "b"));
            gaps.forEach((gapMs, index) => {
                nowMs += gapMs;
                if (index === gaps.length - 1) {
                    monitor.recordProcessPause(pauseMs);
                }
                trackers.forEach((tracker) => {
                    tracker.recordEvent();
                });
            });
            const { gaps_per_s = 0, events_per_s = 0 } = monitor.createReport()["b"] ?? {};
            expect(Math.round(gaps_per_s / events_per_s * gaps.length * streams)).to.equal(late);
        });
    }
});

describe("messages on links are valid between builds", () => {
    const lossy = { a: { events_per_s: 100, gaps_per_s: 0 }, b: { events_per_s: 100, gaps_per_s: 9 } };
    const tooMany = Object.fromEntries(Array.from({ length: 33 }, (_unused, index) => [String(index), lossy.b]));
    const rows: readonly { readonly title: string; readonly sent: object; readonly links: unknown; }[] = [
        { title: "an entry of the build before gets none", sent: {}, links: undefined },
        {
            title: "a loss is told",
            sent: { domain: "a", links: lossy },
            links: [{ from: "a", to: "b", late_share: 0.09, age_ms: 0 }],
        },
        ...[
            { title: "a negative rate", links: { b: { events_per_s: -1, gaps_per_s: 9 } } },
            { title: "no number", links: { b: { events_per_s: 100, gaps_per_s: "9" } } },
            { title: "an infinite rate", links: { b: { events_per_s: 100, gaps_per_s: Number.POSITIVE_INFINITY } } },
            { title: "a list", links: [lossy] },
            { title: "too many domains", links: tooMany },
        ].map(({ title, links }) => ({
            title: `${title}: dropped, the rest of the message counts`,
            sent: { domain: "a", links },
            links: [],
        })),
        { title: "a domain that is no name", sent: { domain: 7, links: lossy }, links: undefined },
    ];
    for (const { title, sent, links } of rows) {
        it(title, async () => {
            let nowMs = 0;
            const result = await synchroniseTwice(sent, (ms) => {
                nowMs += ms;
            }, () => nowMs);
            expect(result.kind === "state" ? result.links : "no state").to.deep.equal(links);
        });
    }

    /** Two entries send the same to a leader of one round of reports. */
    async function synchroniseTwice(
        sent: object,
        pass: (ms: number) => void,
        getNowMs: () => number,
    ): Promise<SynchroniseResult> {
        const self = { id: "v", address: "v" };
        const status = { leader: self, term: 1, commitIndex: 1, replicas: { voters: [self], learners: [] } };
        const host = {
            state: new FleetState(),
            self,
            replica: { hasLeaderLease: () => true, getStatus: () => status },
        } as unknown as FleetReplicaHost;
        const log = { record: () => undefined };
        const links = new LinkRegistry({ getNowMs, log, metrics: { recordLossyLinks: () => undefined } });
        const register = new EntryRegistry({
            host,
            getNowMs,
            rollout: noRollout,
            listSuspects: () => [],
            limits: noLimits,
            links,
        });
        const send = (instance: string): Promise<SynchroniseResult> =>
            register.synchronise(synchroniseParametersSchema.parse({
                instance,
                known_index: 1,
                loads: {},
                may_wait: false,
                ...sent,
            }));
        pass(1_000);
        // The term begins with the first report of it.
        await send("before");
        pass(1_501);
        await send("one");
        pass(200);
        return send("two");
    }
});
