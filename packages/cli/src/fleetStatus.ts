/**
 * `crankfork status --fleet`: demand, room and refusals by class, as an entry or a voter sees them.
 */
import { type ClassStatus, type FleetStatus, fleetStatusSchema } from "@crankfork/schemas";
import * as z from "zod";
import { OperatorError, requestInstance } from "./operatorClient.js";
import { formatTable, printAnswer } from "./output.js";

const rpcResponseSchema = z.object({
    result: z.unknown().optional(),
    error: z.object({ message: z.string() }).optional(),
});

/**
 * Prints the status of an entry or a voter of a fleet.
 * @param address - its peers' port
 * @param isJson - whether to print JSON
 * @throws OperatorError if the instance can't be reached, or does not know the method
 */
export async function printFleetStatus(address: string, isJson: boolean): Promise<void> {
    const body = JSON.stringify({ jsonrpc: "2.0", id: 1, method: "status", params: {} });
    const raw = await requestInstance({ address, secret: undefined }, { method: "POST", path: "/rpc", body });
    const { result, error } = rpcResponseSchema.parse(raw);
    const status = fleetStatusSchema.safeParse(result);
    if (!status.success) {
        const reason = error?.message ?? "the result is no status";
        const next = "check that --fleet is the peers' port of an entry or a voter of this build";
        throw new OperatorError(reason, "status", address, next);
    }
    printAnswer(status.data, isJson, formatFleetStatus);
}

/**
 * Formats a status as text.
 * @param status - the status
 * @returns a summary line, and a table for each service
 */
export function formatFleetStatus({ instance, role, entries, reporters, services }: FleetStatus): string {
    const summary = `${instance}: ${role}, ${String(entries)} entries, ${String(reporters)} of them in the demand`;
    const tables = services.map(({ service, is_estimated, demand_age_ms, classes }) => {
        const source = is_estimated ? "estimated from this entry's own requests" : "summed over the fleet";
        const age = demand_age_ms === undefined ? "no sum received" : `last sum ${String(demand_age_ms)} ms ago`;
        const head = [
            "RANK",
            "ARRIVE/S",
            "SLOW",
            "ADMIT/S",
            "REFUSE/S",
            "WAIT",
            "DUE",
            "ROOM",
            "REFUSED IN 10 S",
            "TOKENS/S",
        ];
        return [
            service === "" ? "(refused before a route was known)" : `${service}: ${source}, ${age}`,
            formatTable({ head, rows: classes.map((one) => createClassRow(one)) }),
        ].join("\n");
    });
    return [summary, ...tables].join("\n\n");
}

function createClassRow(one: ClassStatus): readonly string[] {
    const room = one.room === undefined
        ? "-"
        : `${String(Math.round(one.room * 100))}% (${String(one.room_age_ms ?? 0)} ms ago)`;
    return [
        String(one.rank),
        String(one.arrivals_per_s),
        one.slow_arrivals_per_s === undefined ? "-" : String(one.slow_arrivals_per_s),
        String(one.admitted_per_s),
        String(one.refused_per_s),
        String(one.waiting),
        String(one.returns),
        room,
        formatCounts(one.refusals),
        formatCounts(one.organisations ?? {}),
    ];
}

/** The largest first; requests of other organisations, or without a key, have the empty name. */
function formatCounts(counts: Readonly<Record<string, number>>): string {
    const sorted = Object.entries(counts).sort(([, left], [, right]) => right - left);
    return sorted.length === 0
        ? "-"
        : sorted.map(([name, value]) => `${name === "" ? "(others)" : name}=${String(value)}`).join(" ");
}
