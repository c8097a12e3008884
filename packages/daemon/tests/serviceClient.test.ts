import { expect } from "chai";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { Dispatcher } from "undici";
import { createAgent, ExchangeError } from "../src/connection/httpClient.js";
import { callService, type ServiceAnswer } from "../src/connection/serviceClient.js";

const MAX_BYTES = 64;
const slip = Buffer.from([0x25, 0x50, 0x44, 0x46, 0xff, 0x00, 0xfe]);

const bodies: Readonly<Record<string, Buffer>> = {
    "/text": Buffer.from("rate board: 1.36 \u20ac"),
    "/slip": slip,
    "/large": Buffer.alloc(MAX_BYTES + 1),
    "/empty": Buffer.alloc(0),
};

describe("the response of a plain service is returned byte for byte, up to a size limit", () => {
    let server: Server;
    let agent: Dispatcher;

    const call = (path: string): Promise<ServiceAnswer> =>
        callService(agent, "printer", `127.0.0.1:${String((server.address() as AddressInfo).port)}`, {
            method: "GET",
            path,
            contentType: undefined,
            body: Buffer.alloc(0),
            signal: new AbortController().signal,
            timeoutMs: 5_000,
            maxAnswerBytes: MAX_BYTES,
        });

    before((done) => {
        agent = createAgent();
        server = createServer((request, response) => {
            response.end(bodies[request.url ?? ""]);
        }).listen(0, "127.0.0.1", done);
    });

    after(async () => {
        await agent.destroy();
        server.close();
    });

    for (const path of ["/text", "/slip", "/empty"]) {
        it(path, async () => {
            const result = await call(path);
            const answer = result.kind === "answered" ? result.answer : undefined;
            expect(Buffer.from(answer?.body ?? "", answer?.encoding)).to.deep.equal(bodies[path]);
        });
    }

    it("a response that is too large fails as rubbish", async () => {
        const error: unknown = await call("/large").catch((thrown: unknown) => thrown);
        expect(error).to.be.instanceOf(ExchangeError).with.property("failure", "rubbish");
    });
});
