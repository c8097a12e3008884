import { expect } from "chai";
import { parseToml, settingsSchema } from "../src/index.js";

const minimal = `
[instance]
id = "entry-1"
[ports]
callers = "127.0.0.1:8080"
operators = "127.0.0.1:8081"
peers = "127.0.0.1:8082"
`;

interface Row {
    readonly title: string;
    readonly text: string;
    readonly faults: readonly string[];
}

const rows: readonly Row[] = [
    { title: "minimal valid settings", text: minimal, faults: [] },
    {
        title: "an unknown key",
        text: `${minimal}[timing]\nheartbeet = "100ms"`,
        faults: ["s.toml: timing.heartbeet: found an unknown key; expected one that the documentation lists"],
    },
    {
        title: "a number without a unit",
        text: `${minimal}[timing]\nheartbeat = "100"`,
        faults: [
            's.toml: timing.heartbeat: found "100"; expected a duration with a unit: ms, s, min or h, such as 250ms',
        ],
    },
    {
        title: "a size in an unknown unit",
        text: `${minimal}[limits]\nbody = "1MB"`,
        faults: ['s.toml: limits.body: found "1MB"; expected a size with a unit: B, KiB or MiB, such as 512KiB'],
    },
    {
        title: "two ports with the same address",
        text: minimal.replace("8082", "8080"),
        faults: ['s.toml: ports.peers: found "127.0.0.1:8080"; expected an address other than that of ports.callers'],
    },
    {
        title: "several ports 0, which the operating system assigns",
        text: minimal.replaceAll(/80\d\d/g, "0"),
        faults: [],
    },
    {
        title: "a port outside loopback without a secret",
        text: minimal.replace("127.0.0.1:8081", "10.0.0.5:8081"),
        faults: [
            "s.toml: secrets.operators: found nothing; expected a secret, since ports.operators can be reached from other machines",
        ],
    },
    {
        title: "an election timeout below three heartbeats",
        text: `${minimal}[timing]\nelection = "200ms"`,
        faults: ['s.toml: timing.election: found "200ms"; expected at least three times timing.heartbeat'],
    },
    {
        title: "a single-node instance with peers",
        text: `${minimal.replace("[ports]", "alone = true\n[ports]")}[peers]\naddresses = ["127.0.0.1:9000"]`,
        faults: ["s.toml: instance.alone: found true; expected false where peers.addresses names other instances"],
    },
    {
        title: "a host name instead of an IP address",
        text: minimal.replace("127.0.0.1:8080", "localhost:8080"),
        faults: [
            's.toml: ports.callers: found "localhost:8080"; expected an IP number and a port, such as 127.0.0.1:8080',
        ],
    },
];

describe("settings: one message per fault with file, key, value found and value expected", () => {
    for (const { title, text, faults } of rows) {
        it(title, () => {
            const checked = parseToml(settingsSchema, text, "s.toml");
            expect(checked.kind === "invalid" ? checked.faults : []).to.deep.equal(faults);
        });
    }

    it("invalid TOML is reported with its line", () => {
        const checked = parseToml(settingsSchema, "[instance\nid = 1", "s.toml");
        expect(checked.kind === "invalid" && checked.faults[0]).to.match(/^s\.toml:1: found text that is no TOML/);
    });

    it("durations are converted to milliseconds and sizes to bytes", () => {
        const checked = parseToml(
            settingsSchema,
            `${minimal}[timing]\nprobe = "2s"\n[limits]\nbody = "2KiB"`,
            "s.toml",
        );
        expect(checked.kind === "valid" && [checked.value.timing.probe, checked.value.limits.body]).to.deep.equal([
            2_000,
            2_048,
        ]);
    });
});
