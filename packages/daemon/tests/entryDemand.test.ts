/** Guards against demand that is reported under the wrong class, or for services whose decisions must not change. */
import type { Route, RoutedOrganisation, RoutingTable } from "@crankfork/schemas";
import { expect } from "chai";
import { EntryDemand } from "../src/process/entry/entryDemand.js";
import { type AdmittedCall, RequestContext } from "../src/request/requestContext.js";
import { rankServices, type RoutingView } from "../src/version/fleetView.js";
import { confirmedBasis } from "./configurationFakes.js";

let nowMs = 0;

function createDemand(
    priorities: readonly number[],
    report_demand = false,
    getRank?: (route: Route) => number,
): EntryDemand {
    const routes = priorities.map((priority) => ({ priority, targets: [{ service: "s", weight: 1 }] }));
    const other = { priority: 9, targets: [{ service: "other", weight: 1 }] };
    const services = [{ name: "s", engine: {} }, { name: "other", engine: {} }];
    const organisations = [{ priority: 0 }, {}];
    const table = { services, routes: [...routes, other], organisations } as unknown as RoutingTable;
    return new EntryDemand({
        settings: { admission: { report_demand } },
        getNowMs: () => nowMs,
        countEntries: () => 1,
        ...(getRank === undefined ? {} : { getRank }),
        getRouting: () => ({ table, ranks: rankServices(table) }) as unknown as RoutingView,
    });
}

function createRun(priority: number, organisation?: Partial<RoutedOrganisation>): RequestContext {
    const admitted = {
        call: { deadlineMs: undefined, size: { promptTokens: 10, answerTokens: 5 } },
        route: { priority, timeout_ms: 1_000 } as Route,
        service: { name: "s" },
        organisation,
        basis: confirmedBasis,
        body: undefined,
        arrivedMs: 0,
    } as unknown as AdmittedCall;
    const run = new RequestContext(admitted, () => nowMs);
    run.close();
    return run;
}

describe("demand is reported for services whose routes differ in priority", () => {
    const rows = [
        { title: "two priorities", priorities: [0, 1], report: false, expected: ["s"] },
        { title: "routes of one priority", priorities: [1, 1], report: false, expected: undefined },
        {
            title: "routes of one priority, where the setting asks for it",
            priorities: [1, 1],
            report: true,
            expected: ["s"],
        },
    ];
    for (const { title, priorities, report, expected } of rows) {
        it(title, () => {
            const demand = createDemand(priorities, report);
            demand.recordArrival(createRun(1));
            const sent = demand.createReport();
            expect(sent === undefined ? undefined : Object.keys(sent.services)).to.deep.equal(expected);
        });
    }
});

describe("a request counts under one class, once as admitted and once as refused", () => {
    const rows = [
        // Ranks of the pairs (effective priority, route's): (0, 0), (0, 1), (1, 1).
        { title: "the route's priority", run: createRun(1), rank: 2 },
        { title: "the organisation's priority", run: createRun(1, { name: "o", priority: 0 }), rank: 1 },
        { title: "a priority below 0", run: createRun(-3), rank: 0 },
        { title: "a rank that a message can't name", run: createRun(1), rank: 99, getRank: () => 200 },
    ];
    for (const { title, run, rank, getRank } of rows) {
        it(title, () => {
            const demand = createDemand([0, 1], false, getRank);
            demand.recordArrival(run);
            demand.recordChoice(run, { kind: "full" });
            demand.recordChoice(run, { kind: "target", target: {} as never });
            demand.recordChoice(run, { kind: "target", target: {} as never });
            demand.recordEnd(run, { outcome: "refused", status: 503, refusal: "declined" });
            expect(demand.createReport()?.services.s?.classes).to.deep.equal({
                [rank]: {
                    arrivals_per_s: 1,
                    admitted_per_s: 1,
                    refused_per_s: 1,
                    prompt_tokens_per_s: 10,
                    answer_tokens_per_s: 5,
                    organisations: { [run.admitted.organisation?.name ?? ""]: 15 },
                },
            });
        });
    }

    it("a wait ends under the rank under which it began, also after a new routing table", () => {
        let rank = 3;
        const demand = new EntryDemand({
            settings: { admission: { report_demand: true } },
            getNowMs: () => nowMs,
            countEntries: () => 1,
            getRouting: () => undefined,
            getRank: () => rank,
        });
        const run = createRun(0);
        demand.meter.recordWaiting(demand.getKey(run), 1);
        rank = 1;
        demand.meter.recordWaiting(demand.getKey(run), -1);
        expect([...demand.meter.measure("s")].map(([key, { waiting }]) => [key, waiting])).to.deep.equal([[3, 0]]);
    });
});

describe("a report is left out only where the leader has answered one with a complete sum", () => {
    const rows = [
        { title: "several voters are probed", answer: undefined, afterMs: 0, isSent: true },
        { title: "the answer of a new leader", answer: 599, afterMs: 100, isSent: true },
        { title: "changes in quick succession", answer: 600, afterMs: 399, isSent: false },
        { title: "the next long poll", answer: 600, afterMs: 400, isSent: true },
    ];
    for (const { title, answer, afterMs, isSent } of rows) {
        it(title, () => {
            const demand = createDemand([0, 1]);
            expect(demand.createReport()).to.deep.equal({ services: {} });
            if (answer !== undefined) {
                demand.recordSummary({ services: {}, reporters: 1 }, answer);
            }
            nowMs += afterMs;
            expect(demand.createReport() !== undefined).to.equal(isSent);
        });
    }
});
