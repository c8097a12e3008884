/**
 * Guards against responses to the operator's command that are used although they are cut or invalid.
 */
import {
    AnswerServer,
    createInvalidAnswers,
    createValidAnswers,
    type SentAnswer,
    UNSENT_BYTES,
} from "@crankfork/daemon/dist/tests/invalidAnswers.js";
import { expect } from "chai";
import { OperatorError, requestInstance } from "../src/operatorClient.js";

const TIMEOUT_MS = 2_000;
const CONTENT = { version: 1 };
const BODY = JSON.stringify(CONTENT);

async function receive(answer: SentAnswer): Promise<unknown> {
    const server = await AnswerServer.open(answer);
    try {
        return await requestInstance({ address: server.address, secret: undefined, timeoutMs: TIMEOUT_MS }, {
            method: "POST",
            path: "/v1/configuration",
            body: answer.isEarly === true ? "a".repeat(UNSENT_BYTES) : "a",
        });
    }
    catch (error) {
        return error;
    }
    finally {
        server.close();
    }
}

describe("an invalid response to the operator's command is an error", () => {
    for (const answer of createInvalidAnswers(BODY)) {
        it(answer.title, async () => {
            expect(await receive(answer)).to.be.instanceOf(OperatorError);
        });
    }
});

describe("a valid response to the operator's command is accepted", () => {
    for (const answer of createValidAnswers(BODY)) {
        it(answer.title, async () => {
            expect(await receive(answer)).to.deep.equal(CONTENT);
        });
    }
});
