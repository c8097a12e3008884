import {
    type FleetCommand,
    formatIncarnationId,
    type UpstreamIncarnation,
    type UpstreamStatus,
} from "@crankfork/schemas";
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
const createLife = (started_at_ms: number): UpstreamIncarnation => ({ name: "u", started_at_ms });
const putLife = (start: number, status: UpstreamStatus = "ready"): FleetCommand => ({
    kind: "put-upstream",
    facts: {
        id: formatIncarnationId(createLife(start)),
        life: createLife(start),
        service: "s",
        address: "a",
        failure_domain: "d",
        slots: 1,
    },
    status,
});
const removeLife = (start: number): FleetCommand => ({
    kind: "remove-upstream",
    id: formatIncarnationId(createLife(start)),
    life: createLife(start),
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

const lifeRows: readonly {
    readonly title: string;
    readonly commands: readonly FleetCommand[];
    readonly held: readonly string[];
}[] = [
    { title: "a later life takes the place of the earlier", commands: [putLife(1), putLife(2)], held: ["u@2 ready"] },
    { title: "in the other order of arrival, too", commands: [putLife(2), putLife(1)], held: ["u@2 ready"] },
    {
        title: "one that comes back after an orderly end",
        commands: [putLife(1), removeLife(1), putLife(2)],
        held: ["u@2 ready"],
    },
    { title: "after it was leaving", commands: [putLife(1, "leaving"), putLife(2)], held: ["u@2 ready"] },
    { title: "after it was lost", commands: [putLife(1, "lost"), putLife(2)], held: ["u@2 ready"] },
    { title: "a life that left stays so", commands: [putLife(2, "leaving"), putLife(2)], held: ["u@2 leaving"] },
    { title: "an earlier life after the later has ended", commands: [putLife(2), removeLife(2), putLife(1)], held: [] },
    {
        title: "an earlier life that was never heard, after the end of the later",
        commands: [removeLife(2), putLife(1)],
        held: [],
    },
    {
        title: "the end of a life that was never heard ends the earlier",
        commands: [putLife(1), removeLife(2)],
        held: [],
    },
    { title: "a late end of the earlier life", commands: [putLife(1), putLife(2), removeLife(1)], held: ["u@2 ready"] },
    { title: "from one that told no start", commands: [putUpstream("u"), putLife(1)], held: ["u@1 ready"] },
    { title: "one that tells no start any more", commands: [putLife(1), putUpstream("u")], held: ["u@1 ready"] },
    { title: "after an end without a start", commands: [remove("u"), putLife(1)], held: ["u@1 ready"] },
    {
        title: "a loss that was on its way for the earlier life",
        commands: [putLife(1), putLife(2), putLife(1, "lost")],
        held: ["u@2 ready"],
    },
];

describe("of the lives of one name the latest counts", () => {
    const copyBySnapshot = (state: FleetState): FleetState => {
        const copy = new FleetState();
        copy.restore(JSON.parse(JSON.stringify(state.getState())));
        return copy;
    };
    const listHeld = (state: FleetState): readonly string[] =>
        state.listUpstreams().map(({ id, status }) => `${id} ${status}`);
    for (const { title, commands, held } of lifeRows) {
        it(title, () => {
            expect(listHeld(createState(commands))).to.deep.equal(held);
        });

        it(`${title}, with a snapshot before each command`, () => {
            const end = commands.reduce((state, command, index) => {
                const copy = copyBySnapshot(state);
                copy.apply(command, index + 1);
                return copy;
            }, new FleetState());
            expect(listHeld(end)).to.deep.equal(held);
        });
    }

    it("entries are told that the earlier life is gone, with the later one", () => {
        const changes = createState([putLife(1), putLife(2)]).getChanges(1);
        expect([changes.upstreams.map(({ id }) => id), changes.removed]).to.deep.equal([["u@2"], ["u@1"]]);
    });

    it("a snapshot from before lives were told is read", () => {
        const state = new FleetState();
        const upstream = { id: "u", service: "s", address: "a", failure_domain: "d", slots: 1, status: "ready" };
        state.restore({
            upstreams: [{ upstream, index: 3 }],
            removed: [{ id: "gone", index: 4 }],
            forgotten_index: 0,
            index: 4,
        });
        expect([state.isOver({ name: "gone" }), state.isOver({ name: "gone", started_at_ms: 1 })]).to.deep.equal([
            true,
            false,
        ]);
        state.apply(putLife(1), 5);
        expect(listHeld(state)).to.deep.equal(["u@1 ready"]);
    });
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
        expect(copy.isOver({ name: "a" })).to.equal(true);
    });
});
