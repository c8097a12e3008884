import { type EngineStatus, upstreamSchema } from "@crankfork/schemas";
import { expect } from "chai";
import { ExchangeError } from "../src/connection/httpClient.js";
import { UpstreamState } from "../src/process/daemon/upstreamState.js";
import { UpstreamTable } from "../src/process/daemon/upstreamTable.js";

const load = { running: 0, waiting: 0, kv_used: 0, kv_total: 1, age_ms: 0 };
const createStatus = (is_leaving: boolean): EngineStatus => ({ holds: [], load, is_leaving });

type Act = "says-leaving" | "says-staying" | "listed" | "not-listed";

const rows: readonly { readonly title: string; readonly acts: readonly Act[]; readonly isUsable: boolean; }[] = [
    { title: "it says so", acts: ["says-leaving"], isUsable: false },
    { title: "the list says so", acts: ["listed"], isUsable: false },
    { title: "the list says so and it does not", acts: ["listed", "says-staying"], isUsable: false },
    { title: "it says so and the list still calls it live", acts: ["says-leaving", "not-listed"], isUsable: false },
    { title: "it came back after a restart", acts: ["says-leaving", "says-staying"], isUsable: true },
    {
        title: "it came back and the list has caught up",
        acts: ["listed", "says-staying", "not-listed"],
        isUsable: true,
    },
];

describe("a leaving upstream gets no new work; leaving goes before live, whichever of the two says it", () => {
    for (const { title, acts, isUsable } of rows) {
        it(title, () => {
            const upstream = upstreamSchema.parse({ name: "e", kind: "engine", address: "127.0.0.1:1" });
            const state = new UpstreamState(upstream, undefined);
            for (const act of acts) {
                if (act === "listed" || act === "not-listed") {
                    state.isListedLeaving = act === "listed";
                }
                else {
                    state.receiveStatus(createStatus(act === "says-leaving"), 0);
                }
            }
            expect(state.isUsable(0)).to.equal(isUsable);
        });
    }
});

describe("an upstream that asked for rest is left alone, and nothing is held against it", () => {
    const answerWithRest = (restMs: number): ExchangeError =>
        new ExchangeError("rubbish", "p", "status 503", false, restMs);

    it("its circuit stays closed, and it is used again after its time, one call first", () => {
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
