import { type FleetSettings, fleetSettingsSchema } from "@crankfork/schemas";

/** Creates the settings of an entry, with optional overrides of its contract. */
export function createSettings(contract: Partial<FleetSettings["contract"]> = {}): FleetSettings {
    return fleetSettingsSchema.parse({
        instance: { id: "entry", host: "h", failure_domain: "d" },
        ports: { peers_port: 1 },
        cluster: { seeds: [] },
        contract: {
            upstream_heartbeat: 1_000,
            apply: 2_000,
            revocation: 5_000,
            drain: 2_000,
            stop: 8_000,
            retry_ratio: 0.2,
            retry_slack: 100,
            retry_window: 10_000,
            ...contract,
        },
    });
}
