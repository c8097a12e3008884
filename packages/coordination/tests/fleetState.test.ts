import type { FleetCommand, UpstreamStatus } from "@crankfork/schemas";
import { expect } from "chai";
import { FleetState } from "../src/index.js";

const putDocument = (version: number, packed: string = `packed ${String(version)}`): FleetCommand => ({
    kind: "put-document",
    version,
    packed,
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
    readonly packed: string | undefined;
}[] = [
    { title: "none", commands: [], packed: undefined },
    { title: "the first", commands: [putDocument(3)], packed: "packed 3" },
    { title: "a higher one", commands: [putDocument(3), putDocument(7)], packed: "packed 7" },
    { title: "a lower one that comes later", commands: [putDocument(7), putDocument(3)], packed: "packed 7" },
    {
        title: "other content under the same version",
        commands: [putDocument(7, "first"), putDocument(7, "second")],
        packed: "first",
    },
];

describe("the highest version of the document prevails", () => {
    for (const { title, commands, packed } of documentRows) {
        it(title, () => {
            expect(createState(commands).getDocument()?.packed).to.equal(packed);
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

// The document is asked for by itself, by its version: see the daemon's documentSource.test.ts.
describe("an entry is told what it lacks of the upstreams, and nothing twice", () => {
    const commands = [putDocument(1), putUpstream("a"), putUpstream("b"), remove("a"), putDocument(2)];
    const rows = [
        { after: 0, isWhole: true, upstreams: ["b"], removed: [] },
        { after: 1, isWhole: false, upstreams: ["b"], removed: ["a"] },
        { after: 3, isWhole: false, upstreams: [], removed: ["a"] },
        { after: 4, isWhole: false, upstreams: [], removed: [] },
        { after: 5, isWhole: false, upstreams: [], removed: [] },
        { after: 99, isWhole: true, upstreams: ["b"], removed: [] },
    ];
    for (const row of rows) {
        it(`after position ${String(row.after)}`, () => {
            const changes = createState(commands).getChanges(row.after);
            expect({
                after: row.after,
                isWhole: changes.isWhole,
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
