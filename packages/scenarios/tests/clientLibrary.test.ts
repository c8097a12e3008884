import { expect } from "chai";
import OpenAI from "openai";
import { computeExpectedText } from "../src/harness/caller.js";
import { createSecret } from "../src/harness/cluster.js";
import { LAYERS, MODEL, ORGANISATION, World } from "../src/harness/world.js";

const PROMPT = "explain the posted rate board";
const TOKENS = 8;

describe("the OpenAI client library works with the callers' port", () => {
    let world: World;
    let client: OpenAI;

    before(async () => {
        world = new World();
        await world.startEngine("engine-1");
        await world.startEngine("engine-2");
        const { addresses } = await world.cluster.startEntry({
            name: "entry-1",
            hasDisk: true,
            sections: { instance: { alone: true } },
        });
        await world.applyIntent({ id: "first" });
        client = new OpenAI({
            baseURL: `http://${addresses.callers}/v1`,
            apiKey: createSecret(ORGANISATION),
            organization: ORGANISATION,
            maxRetries: 0,
        });
    });

    after(async () => {
        await world.close();
    });

    it("lists models", async () => {
        const models = await client.models.list();
        expect(models.data.map((model) => model.id)).to.deep.equal([MODEL]);
    });

    it("streams a complete chat completion", async () => {
        const stream = await client.chat.completions.create({
            model: MODEL,
            messages: [{ role: "user", content: PROMPT }],
            max_completion_tokens: TOKENS,
            stream: true,
        });
        let text = "";
        let finishReason: string | null = null;
        for await (const chunk of stream) {
            text += chunk.choices[0]?.delta.content ?? "";
            finishReason = chunk.choices[0]?.finish_reason ?? finishReason;
        }
        expect([text, finishReason]).to.deep.equal([getExpected(`user: ${PROMPT}`), "length"]);
    });

    it("gets a complete completion with its usage", async () => {
        const completion = await client.completions.create({ model: MODEL, prompt: PROMPT, max_tokens: TOKENS });
        expect(completion.choices[0]?.text).to.equal(getExpected(PROMPT));
        expect(completion.usage?.completion_tokens).to.equal(TOKENS);
    });

    it("reports an unknown model as the library's NotFoundError", async () => {
        const failure: unknown = await client.completions.create({ model: "none", prompt: PROMPT }).catch((
            error: unknown,
        ) => error);
        expect(failure).to.be.instanceOf(OpenAI.NotFoundError);
    });

    it("reports a wrong secret as the library's AuthenticationError", async () => {
        const clientWithWrongSecret = client.withOptions({ apiKey: "wrong" });
        const failure: unknown = await clientWithWrongSecret.completions.create({ model: MODEL, prompt: PROMPT }).catch(
            (
                error: unknown,
            ) => error,
        );
        expect(failure).to.be.instanceOf(OpenAI.AuthenticationError);
    });
});

function getExpected(prompt: string): string {
    const call = { address: "", organisation: "", priority: "", model: MODEL, prompt, maxTokens: TOKENS };
    return computeExpectedText(call, LAYERS);
}
