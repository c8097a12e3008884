import { type EngineStatus, upstreamSchema } from "@crankfork/schemas";
import { expect } from "chai";
import { ExchangeError } from "../src/connection/httpClient.js";
import { UpstreamState } from "../src/process/daemon/upstreamState.js";
import { UpstreamTable } from "../src/process/daemon/upstreamTable.js";

const load = { running: 0, waiting: 0, kv_used: 0, kv_total: 1, age_ms: 0 };
const createStatus = (is_leaving: boolean): EngineStatus => ({ holds: [], load, is_leaving });

type Report = "says-leaving" | "says-staying" | "listed" | "not-listed";

const rows: readonly { readonly title: string; readonly reports: readonly Report[]; readonly isUsable: boolean; }[] = [
    { title: "its status says leaving", reports: ["says-leaving"], isUsable: false },
    { title: "the platform lists it as leaving", reports: ["listed"], isUsable: false },
    {
        title: "the platform lists it as leaving, its status does not",
        reports: ["listed", "says-staying"],
        isUsable: false,
    },
    {
        title: "its status says leaving, the platform still lists it as live",
        reports: ["says-leaving", "not-listed"],
        isUsable: false,
    },
    { title: "it has restarted", reports: ["says-leaving", "says-staying"], isUsable: true },
    {
        title: "it has restarted and the platform lists it as live again",
        reports: ["listed", "says-staying", "not-listed"],
        isUsable: true,
    },
];

describe("a leaving upstream is not usable; leaving overrides live, whether its status or the platform says so", () => {
    for (const { title, reports: acts, isUsable } of rows) {
        it(title, () => {
            const upstream = upstreamSchema.parse({ name: "e", kind: "engine", address: "127.0.0.1:1" });
            const state = new UpstreamState(upstream, undefined);
            for (const report of acts) {
                if (report === "listed" || report === "not-listed") {
                    state.isListedLeaving = report === "listed";
                }
                else {
                    state.receiveStatus(createStatus(report === "says-leaving"), 0);
                }
            }
            expect(state.isUsable(0)).to.equal(isUsable);
        });
    }
});

describe("an upstream that asked for a backoff gets no requests, which does not count as a failure", () => {
    const answerWithRest = (backoffMs: number): ExchangeError =>
        new ExchangeError("rubbish", "p", "status 503", false, backoffMs);

    it("keeps the circuit closed, and admits a single request first when the backoff is over", () => {
        const changes: string[] = [];
        const table = new UpstreamTable(1_000, {
            countEntries: () => 2,
            createEngine: () => {
                throw new Error("there are no engines");
            },
            countOthersInFlight: () => 0,
            random: () => 0,
            handleChange: (_state, change) => changes.push(change),
        });
        const state = new UpstreamState(
            upstreamSchema.parse({ name: "p", kind: "service", address: "127.0.0.1:1" }),
            undefined,
        );
        for (let failure = 0; failure < 5; failure += 1) {
            table.recordFailure(state, answerWithRest(60_000));
        }
        const nowMs = performance.now();
        expect([state.circuit.state, state.isUsable(nowMs), changes[0]]).to.deep.equal(["closed", false, "rests"]);
        expect(state.isUsable(nowMs + 60_001)).to.equal(true);
        state.recordStart("one", nowMs + 60_001);
        expect(state.isUsable(nowMs + 60_002)).to.equal(false);
        state.recordEnd("one", true);
        expect(state.isUsable(nowMs + 60_003)).to.equal(true);
    });
});
