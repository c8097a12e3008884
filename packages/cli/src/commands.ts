/**
 * What the operators' command can do; one function a command.
 */
import {
    changeVotersResultSchema,
    configurationSchema,
    confirmResponseSchema,
    historyResponseSchema,
    type Member,
    planResponseSchema,
    statusResponseSchema,
    upstreamsResponseSchema,
} from "@crankfork/schemas";
import { readFileSync } from "node:fs";
import * as z from "zod";
import { askInstance, type OperatorClientOptions, OperatorError } from "./operatorClient.js";
import { formatTable, printAnswer } from "./output.js";

/** Options that every command takes. */
export interface CommandOptions {
    readonly client: OperatorClientOptions;
    readonly isJson: boolean;
}

const initAnswerSchema = z.object({ cluster: z.string(), voter: z.object({ id: z.string(), address: z.string() }) });
const drainAnswerSchema = z.object({ draining: z.string() });
const INIT_RETRIES = 50;
const INIT_RETRY_MS = 100;

/**
 * Founds a cluster at the instance that is asked, and adds more voters to it.
 * @param options - where to ask and how to print
 * @param voters - instances to add, in order
 */
export async function initCluster(options: CommandOptions, voters: readonly string[]): Promise<void> {
    const raw = await askInstance(options.client, { method: "POST", path: "/v1/init" });
    const founded = initAnswerSchema.parse(raw);
    for (const name of voters) {
        await addVoterWhenReady(options, name);
    }
    printAnswer(
        { ...founded, added: voters },
        options.isJson,
        (answer) =>
            [`cluster ${answer.cluster}`, `voter ${answer.voter.id}`, ...voters.map((name) => `voter ${name} added`)]
                .join("\n"),
    );
}

/**
 * Adds or removes a voter.
 * @param options - where to ask and how to print
 * @param action - what to do
 * @param name - instance to add; instance or replica to remove
 */
export async function changeVoters(options: CommandOptions, action: "add" | "remove", name: string): Promise<void> {
    const result = await askVoterChange(options, action, name);
    printAnswer(
        result,
        options.isJson,
        (answer) => answer.kind === "changed" ? formatReplicas(answer.replicas) : answer.kind,
    );
}

/**
 * Replaces a voter: the new one first, so that the set never gets smaller.
 * @param options - where to ask and how to print
 * @param oldName - instance or replica to remove
 * @param newName - instance to add
 */
export async function replaceVoter(options: CommandOptions, oldName: string, newName: string): Promise<void> {
    await askVoterChange(options, "add", newName);
    await changeVoters(options, "remove", oldName);
}

/**
 * Prints instances, versions and voters.
 * @param options - where to ask and how to print
 */
export async function printStatus(options: CommandOptions): Promise<void> {
    const status = statusResponseSchema.parse(await askInstance(options.client, { method: "GET", path: "/v1/status" }));
    printAnswer(status, options.isJson, (answer) => {
        const leader = answer.replica?.leader?.id.split(".")[0];
        const replica = answer.replica === undefined
            ? "no replica here"
            : `replica ${answer.replica.role}, term ${String(answer.replica.term)}, leader ${leader ?? "unknown"}, `
                + `committed ${String(answer.replica.commit_index)}`;
        const head = ["INSTANCE", "DOMAIN", "STATUS", "VERSION", "REPLICA", "ADDRESS"];
        return [
            `${answer.instance}: ${answer.state}, version ${String(answer.configuration_version)}, ${replica}`,
            formatTable({ head, rows: answer.members.map((member) => createMemberRow(member, leader)) }),
        ].join("\n");
    });
}

/**
 * Prints the voters and learners.
 * @param options - where to ask and how to print
 */
export async function printVoters(options: CommandOptions): Promise<void> {
    const status = statusResponseSchema.parse(await askInstance(options.client, { method: "GET", path: "/v1/status" }));
    if (status.replica === undefined) {
        const next = "name an instance with a data folder by --at; crankfork status lists them";
        throw new OperatorError(`${status.instance} holds no replica`, "voters", status.instance, next);
    }
    printAnswer(status.replica.replicas, options.isJson, formatReplicas);
}

/**
 * States an intent and prints the plan. Nothing changes.
 * @param options - where to ask and how to print
 * @param file - TOML file with the intent
 */
export async function printPlan(options: CommandOptions, file: string): Promise<void> {
    const raw = await askInstance(options.client, {
        method: "POST",
        path: "/v1/plans",
        contentType: "application/toml",
        body: readIntentFile(file),
    });
    printAnswer(planResponseSchema.parse(raw), options.isJson, ({ plan, confirmed_version }) => {
        const head = `plan ${plan.id} for intent ${plan.intent_id}, on version ${String(plan.base_version)}`;
        const lines = plan.differences.length === 0
            ? ["  nothing would change"]
            : plan.differences.map((line) => `  ${line}`);
        const next = confirmed_version === undefined
            ? `confirm with: crankfork confirm ${plan.id}`
            : `confirmed already as version ${String(confirmed_version)}`;
        return [head, ...lines, next].join("\n");
    });
}

/**
 * Confirms a plan and waits until it is in force.
 * @param options - where to ask and how to print
 * @param planId - the plan
 */
export async function confirmPlan(options: CommandOptions, planId: string): Promise<void> {
    const raw = await askInstance(options.client, {
        method: "POST",
        path: `/v1/plans/${encodeURIComponent(planId)}/confirm`,
    });
    printAnswer(confirmResponseSchema.parse(raw), options.isJson, (answer) => {
        const repeat = answer.is_repeat ? " (confirmed before)" : "";
        const behind = answer.not_in_force.length === 0
            ? []
            : [`not yet in force at ${answer.not_in_force.join(", ")}`];
        const version = String(answer.version);
        return [`version ${version}${repeat}, in force at ${answer.in_force.join(", ")}`, ...behind].join("\n");
    });
}

/**
 * Prints the configuration in force.
 * @param options - where to ask and how to print
 */
export async function printConfiguration(options: CommandOptions): Promise<void> {
    const raw = await askInstance(options.client, { method: "GET", path: "/v1/configuration" });
    printAnswer(configurationSchema.parse(raw), options.isJson, (answer) => JSON.stringify(answer, undefined, 4));
}

/**
 * Prints the confirmed changes.
 * @param options - where to ask and how to print
 */
export async function printHistory(options: CommandOptions): Promise<void> {
    const answer = await getHistory(options);
    printAnswer(answer, options.isJson, ({ history }) => {
        const rows = history.map((entry) => [
            String(entry.version),
            new Date(entry.confirmed_ms).toISOString(),
            entry.intent_id,
            entry.plan_id,
            String(entry.differences.length),
        ]);
        return formatTable({ head: ["VERSION", "CONFIRMED", "INTENT", "PLAN", "CHANGES"], rows });
    });
}

/**
 * Prints what changed between two versions.
 * @param options - where to ask and how to print
 * @param from - the older version
 * @param to - the newer version
 */
export async function printDifferences(options: CommandOptions, from: number, to: number): Promise<void> {
    const { history } = await getHistory(options);
    const lines = history
        .filter((entry) => entry.version > from && entry.version <= to)
        .flatMap((entry) => entry.differences.map((line) => `version ${String(entry.version)}: ${line}`));
    printAnswer({ from, to, lines }, options.isJson, () => lines.length === 0 ? "no differences" : lines.join("\n"));
}

/**
 * Prints the upstreams.
 * @param options - where to ask and how to print
 */
export async function printUpstreams(options: CommandOptions): Promise<void> {
    const raw = await askInstance(options.client, { method: "GET", path: "/v1/upstreams" });
    printAnswer(upstreamsResponseSchema.parse(raw), options.isJson, ({ upstreams }) => {
        const rows = upstreams.map((one) => [
            one.name,
            one.state,
            one.circuit,
            one.holds.join(" "),
            `${String(one.own_in_flight)}+${String(one.others_in_flight)}`,
            one.reported_running === undefined
                ? "-"
                : `${String(one.reported_running)}/${String(one.reported_waiting)}`,
            one.failure_domain,
        ]);
        const head = ["UPSTREAM", "STATE", "CIRCUIT", "HOLDS", "OWN+OTHERS", "RUN/WAIT", "DOMAIN"];
        return formatTable({ head, rows });
    });
}

/**
 * Begins the planned stop of the instance that is asked.
 * @param options - where to ask and how to print
 */
export async function drainInstance(options: CommandOptions): Promise<void> {
    const raw = await askInstance(options.client, { method: "POST", path: "/v1/drain" });
    printAnswer(drainAnswerSchema.parse(raw), options.isJson, (answer) => `${answer.draining} is draining`);
}

/** Right after it was founded a cluster has no leader yet, and gossip may not have brought all instances. */
async function addVoterWhenReady(options: CommandOptions, name: string): Promise<void> {
    for (let attempt = 1;; attempt += 1) {
        try {
            await askVoterChange(options, "add", name);
            return;
        }
        catch (error) {
            if (!(error instanceof OperatorError) || attempt >= INIT_RETRIES) {
                throw error;
            }
            await new Promise((resolve) => setTimeout(resolve, INIT_RETRY_MS));
        }
    }
}

async function askVoterChange(
    options: CommandOptions,
    action: "add" | "remove",
    name: string,
): Promise<z.infer<typeof changeVotersResultSchema>> {
    const body = JSON.stringify({ action, name });
    return changeVotersResultSchema.parse(
        await askInstance(options.client, { method: "POST", path: "/v1/voters", body }),
    );
}

async function getHistory(options: CommandOptions): Promise<z.infer<typeof historyResponseSchema>> {
    const raw = await askInstance(options.client, { method: "GET", path: "/v1/configuration/history" });
    return historyResponseSchema.parse(raw);
}

function createMemberRow(member: Member, leader: string | undefined): readonly string[] {
    const replica = member.has_replica ? (member.id === leader ? "leader" : "yes") : "no";
    const version = String(member.configuration_version);
    return [member.id, member.failure_domain, member.status, version, replica, member.address];
}

function formatReplicas(
    replicas: { voters: { id: string; address: string; }[]; learners: { id: string; address: string; }[]; },
): string {
    const rows = [
        ...replicas.voters.map((one) => [one.id, "voter", one.address]),
        ...replicas.learners.map((one) => [one.id, "learner", one.address]),
    ];
    return formatTable({ head: ["REPLICA", "KIND", "ADDRESS"], rows });
}

function readIntentFile(file: string): string {
    try {
        return readFileSync(file, "utf8");
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        throw new OperatorError(`${file} can't be read: ${reason}`, "read", file, "name a TOML file with an intent");
    }
}
