/** Guards against calls that wait for the leader's confirmation beyond their route's time-out. */
import type { RoutingTable } from "@crankfork/schemas";
import FakeTimers from "@sinonjs/fake-timers";
import { expect } from "chai";
import { EntryAdmission } from "../src/process/entry/entryAdmission.js";
import type { RoutedCall } from "../src/request/routedCall.js";
import { FleetView } from "../src/version/fleetView.js";

const ROUTE_TIMEOUT_MS = 600;
const APPLY_MS = 2_500;
/** The contract allows half a second after the time-out. */
const MAX_ANSWER_MS = ROUTE_TIMEOUT_MS + 500;

const table: RoutingTable = {
    version: 1,
    routes: [{
        name: "r",
        host: "h",
        prefix: "/",
        kind: "call",
        is_repeatable: true,
        timeout_ms: ROUTE_TIMEOUT_MS,
        objective_ms: 100,
        priority: 1,
        most_attempts: 2,
        is_anonymous: true,
        targets: [{ service: "s", weight: 1 }],
    }],
    services: [{ name: "s" }],
    organisations: [],
    limits: { header_bytes: 1, body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 },
};
const call: RoutedCall = {
    requestId: "r",
    method: "GET",
    host: "h",
    target: "/x",
    path: "/x",
    key: undefined,
    deadlineMs: 20_000,
    size: undefined,
    lastEventId: undefined,
    rawHeaders: [],
};

describe("a call whose configuration is superseded is answered by its route's time-out", () => {
    const rows: readonly {
        readonly title: string;
        /** Time from the call's arrival to its last byte. */
        readonly readMs: number;
        /** Time after the arrival at which the newer version is in force; never if absent. */
        readonly appliedMs?: number;
        readonly outcome: "admitted" | "refused";
        readonly maxMs: number;
    }[] = [
        { title: "no newer version is received", readMs: 0, outcome: "refused", maxMs: MAX_ANSWER_MS },
        { title: "its body takes half of the time", readMs: 300, outcome: "refused", maxMs: MAX_ANSWER_MS },
        { title: "its body takes all of the time", readMs: 700, outcome: "refused", maxMs: MAX_ANSWER_MS },
        {
            title: "the newer version is received in time",
            readMs: 0,
            appliedMs: 200,
            outcome: "admitted",
            maxMs: MAX_ANSWER_MS,
        },
    ];
    for (const { title, readMs, appliedMs = Number.POSITIVE_INFINITY, outcome, maxMs } of rows) {
        it(title, async () => {
            const clock = FakeTimers.install();
            try {
                const view = new FleetView();
                view.applyTable(table);
                const arrivedMs = performance.now();
                const admission = new EntryAdmission({
                    view,
                    contract: { apply: APPLY_MS, revocation: 5_000 },
                    getNowMs: () => performance.now(),
                    random: () => 0,
                    getAgeMs: () => APPLY_MS,
                    getOutdatedMs: () => performance.now() - arrivedMs < appliedMs ? APPLY_MS : undefined,
                    metrics: { recordAdmissionAgeMs: () => undefined },
                    acceptsRequests: () => true,
                });
                await clock.tickAsync(readMs);
                const answered = admission.admitOrWait(call, arrivedMs, () => false)
                    .then(({ kind }) => ({ kind, atMs: performance.now() - arrivedMs }));
                await clock.tickAsync(5_000);
                const { kind, atMs } = await answered;
                expect(kind).to.equal(outcome);
                expect(atMs).to.be.at.most(maxMs);
            }
            finally {
                clock.uninstall();
            }
        });
    }
});
