import { type EngineStatus, upstreamSchema } from "@crankfork/schemas";
import { expect } from "chai";
import { UpstreamState } from "../src/process/daemon/upstreamState.js";

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
