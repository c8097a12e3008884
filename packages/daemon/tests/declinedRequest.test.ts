import { expect } from "chai";
import { profile } from "./memorySimulation.js";
import { formatResponse, ScriptedUpstream, TestEntry } from "./routedHarness.js";

/** Guards against a Retry-After of 50 to 500 ms, which brings callers back into the same shortage of memory. */
describe("a request that an engine declined for lack of memory", () => {
    const rows = [
        {
            title: "is refused as full where no path has room",
            headers: "x-fault: 1.1.1.1:1\r\n",
            isMemoryChecked: true,
            refusal: "full",
            s: 1.4,
        },
        {
            title: "but not where no engine is named",
            headers: "",
            isMemoryChecked: true,
            refusal: "declined",
            s: 0.5,
        },
        {
            title: "nor where memory is not checked",
            headers: "x-fault: 1.1.1.1:1\r\n",
            isMemoryChecked: false,
            refusal: "declined",
            s: 0.5,
        },
    ];
    for (const { title, headers, isMemoryChecked, refusal, s } of rows) {
        it(title, async () => {
            const upstream = await ScriptedUpstream.open("u", (socket, id) => {
                socket.write(formatResponse(503, id, "", `x-not-run: 1\r\n${headers}`));
            });
            const entry = await TestEntry.open({
                upstreams: [upstream],
                route: {},
                fallback: "full",
                isMemoryChecked,
                engine: profile,
            });
            const response = await fetch(entry.url, { headers: { "x-id": "1" } });
            await response.text();
            await entry.close();
            upstream.close();
            expect(entry.ends.map((end) => end.refusal)).to.deep.equal([refusal]);
            // Other entries get the tokens of open requests only where they use them.
            expect(entry.startedTokens.map((tokens) => tokens !== undefined)).to.deep.equal([isMemoryChecked]);
            expect(Number(response.headers.get("retry-after"))).to.be.within(s, s === 0.5 ? 0.6 : 5);
        });
    }
});
