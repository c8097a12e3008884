/**
 * Network addresses in settings and intents.
 */
import * as z from "zod";
import { MAX_PORT } from "./limits.js";

/** `host:port`, where the host is an IP address; with port 0 the operating system assigns a free port. */
export const addressSchema = z.string().refine(isAddress, {
    error: "expected an IP number and a port, such as 127.0.0.1:8080",
});

/** Host and port of an address. */
export interface HostAndPort {
    readonly host: string;
    readonly port: number;
}

/**
 * Splits an address into host and port.
 * @param address - `host:port`; an IPv6 host may be enclosed in brackets
 * @returns host and port; the port is NaN if it is not a decimal number
 */
export function parseAddress(address: string): HostAndPort {
    const separator = address.lastIndexOf(":");
    const host = address.slice(0, separator).replace(/^\[|\]$/g, "");
    const digits = address.slice(separator + 1);
    return { host, port: /^\d+$/.test(digits) ? Number(digits) : Number.NaN };
}

/**
 * Checks whether an address is reachable from this machine only.
 * @param address - `host:port`
 * @returns true for 127.0.0.0/8 and ::1
 */
export function isLoopbackAddress(address: string): boolean {
    const { host } = parseAddress(address);
    return host === "::1" || /^127\.\d+\.\d+\.\d+$/.test(host);
}

function isAddress(text: string): boolean {
    const { host, port } = parseAddress(text);
    const isNumericHost = /^\d{1,3}(\.\d{1,3}){3}$/.test(host) || /^[0-9a-f:]*:[0-9a-f:]*$/i.test(host);
    return isNumericHost && port >= 0 && port <= MAX_PORT;
}
