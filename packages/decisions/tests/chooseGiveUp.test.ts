import type { EngineProfile } from "@crankfork/schemas";
import { expect } from "chai";
import { chooseGiveUp, type GiveUp, type HoldingEngine } from "../src/index.js";

const profile: EngineProfile = {
    layers: 8,
    layer_mb: 100,
    token_bytes: 0,
    capacity_tokens: 1,
    slots: 4,
    step_ms: 1,
    step_ms_a_request: 0,
    read_tokens_a_second: 1_000,
    load_ms: 1_000,
    usual_prompt_tokens: 1,
    usual_answer_tokens: 1,
    accelerators: [{ name: "x", memory_mb: 450, step_factor: 1, read_factor: 1 }],
};

/** Engines as `name:domain=first-end`, by blanks. */
function parseEngines(text: string): readonly HoldingEngine[] {
    return text.split(" ").map((one) => {
        const [, id = "", failureDomain = "", first, end] = /^(\w+):(\w+)=(\d+)-(\d+)$/.exec(one) ?? [];
        const span = { first: Number(first), end: Number(end) };
        return { id, address: id, failureDomain, accelerator: "x", span, slowness: 1 };
    });
}

const rows: readonly { readonly title: string; readonly engines: string; readonly giveUp: GiveUp; }[] = [
    { title: "a copy of a first stage, on a path of its own", engines: "a:d=0-4 b:d=0-4 c:d=4-8", giveUp: "wait" },
    { title: "the later stage of all paths is gone", engines: "a:d=0-4 b:d=0-4", giveUp: "cut" },
    { title: "one of two holders of the later stage is gone", engines: "a:d=0-4 b:d=4-8", giveUp: "wait" },
    {
        title: "the stage is gone here, and paths elsewhere are whole",
        engines: "a:d=0-4 e:f=0-4 g:f=4-8",
        giveUp: "cut",
    },
    { title: "its path goes on beside a stage in another failure domain", engines: "a:d=0-4 e:f=4-8", giveUp: "wait" },
];

describe("what passes an engine is cut only where nothing that passes can move", () => {
    for (const { title, engines, giveUp } of rows) {
        it(`${giveUp}: ${title}`, () => {
            const holding = parseEngines(engines);
            const [engine] = holding;
            expect(engine && chooseGiveUp(engine, holding, profile)).to.equal(giveUp);
        });
    }
});
