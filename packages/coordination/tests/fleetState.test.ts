import type { FleetCommand, UpstreamStatus } from "@crankfork/schemas";
import { expect } from "chai";
import { FleetState } from "../src/index.js";

const putDocument = (version: number, document: unknown = { version }): FleetCommand => ({
    kind: "put-document",
    version,
    document,
});
const putUpstream = (id: string, status: UpstreamStatus = "ready"): FleetCommand => ({
    kind: "put-upstream",
    facts: { id, service: "s", address: id, failure_domain: "d", slots: 1 },
    status,
});
const remove = (id: string): FleetCommand => ({ kind: "remove-upstream", id });

function createState(commands: readonly FleetCommand[]): FleetState {
    const state = new FleetState();
    commands.forEach((command, index) => state.apply(command, index + 1));
    return state;
}

const documentRows: readonly {
    readonly title: string;
    readonly commands: readonly FleetCommand[];
    readonly content: unknown;
}[] = [
    { title: "none", commands: [], content: undefined },
    { title: "the first", commands: [putDocument(3)], content: { version: 3 } },
    { title: "a higher one", commands: [putDocument(3), putDocument(7)], content: { version: 7 } },
    { title: "a lower one that comes later", commands: [putDocument(7), putDocument(3)], content: { version: 7 } },
    {
        title: "other content under the same version",
        commands: [putDocument(7, "first"), putDocument(7, "second")],
        content: "first",
    },
];

describe("the highest version of the document prevails", () => {
    for (const { title, commands, content } of documentRows) {
        it(title, () => {
            expect(createState(commands).getDocument()?.content).to.deep.equal(content);
        });
    }
});

const upstreamRows: readonly {
    readonly title: string;
    readonly commands: readonly FleetCommand[];
    readonly status: UpstreamStatus | undefined;
}[] = [
    { title: "registered", commands: [putUpstream("u")], status: "ready" },
    { title: "leaving", commands: [putUpstream("u"), putUpstream("u", "leaving")], status: "leaving" },
    {
        title: "a late heartbeat does not undo leaving",
        commands: [putUpstream("u", "leaving"), putUpstream("u")],
        status: "leaving",
    },
    { title: "lost, and heard again", commands: [putUpstream("u", "lost"), putUpstream("u")], status: "ready" },
    { title: "removed", commands: [putUpstream("u"), remove("u")], status: undefined },
    {
        title: "a late heartbeat does not undo a removal",
        commands: [putUpstream("u"), remove("u"), putUpstream("u")],
        status: undefined,
    },
    { title: "removed before it was heard of", commands: [remove("u"), putUpstream("u")], status: undefined },
];

describe("an upstream that leaves does not come back", () => {
    for (const { title, commands, status } of upstreamRows) {
        it(title, () => {
            expect(createState(commands).getUpstream("u")?.status).to.equal(status);
        });
    }
});

describe("an entry is told what it lacks, and nothing twice", () => {
    const commands = [putDocument(1), putUpstream("a"), putUpstream("b"), remove("a"), putDocument(2)];
    const rows = [
        { after: 0, isWhole: true, version: 2, upstreams: ["b"], removed: [] },
        { after: 1, isWhole: false, version: 2, upstreams: ["b"], removed: ["a"] },
        { after: 3, isWhole: false, version: 2, upstreams: [], removed: ["a"] },
        { after: 4, isWhole: false, version: 2, upstreams: [], removed: [] },
        { after: 5, isWhole: false, version: undefined, upstreams: [], removed: [] },
        { after: 99, isWhole: true, version: 2, upstreams: ["b"], removed: [] },
    ];
    for (const row of rows) {
        it(`after position ${String(row.after)}`, () => {
            const changes = createState(commands).getChanges(row.after);
            expect({
                after: row.after,
                isWhole: changes.isWhole,
                version: changes.document?.version,
                upstreams: changes.upstreams.map((upstream) => upstream.id),
                removed: [...changes.removed],
            }).to.deep.equal(row);
        });
    }

    it("a snapshot holds all of it", () => {
        const state = createState(commands);
        const copy = new FleetState();
        copy.restore(JSON.parse(JSON.stringify(state.getState())));
        expect(copy.getChanges(1)).to.deep.equal(state.getChanges(1));
        expect(copy.isRemoved("a")).to.equal(true);
    });
});
