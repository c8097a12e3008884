/**
 * Demand by class of service, which entries report to the leader and the leader sums over the fleet. Rates instead of
 * counts are sent, so that a lost or repeated report changes nothing.
 */
import * as z from "zod";

/**
 * Largest number of classes in one message, over all services. Five ranked services of six ranks fit. Names may have any
 * length up to the longest, so the leader bounds the bytes of its answers as well.
 */
export const MAX_DEMAND_CLASSES = 32;
/** Organisations named for each class; the others are summed under the empty name. */
export const MAX_DEMAND_ORGANISATIONS = 8;
/** Longest name of an organisation or a service in a report; organisations with longer names are summed with the others. */
export const MAX_DEMAND_NAME_LENGTH = 128;

/** Members that are 0 are left out of a message, which halves the usual report of an entry. */
const quantitySchema = z.number().default(0);
const nameSchema = z.string().max(MAX_DEMAND_NAME_LENGTH);

/** Demand of one class of a service. */
export const classDemandSchema = z.object({
    /** Requests a second that arrived. */
    arrivals_per_s: quantitySchema,
    /** Requests a second that were first sent to an upstream. */
    admitted_per_s: quantitySchema,
    /** Requests a second that were refused and have not run. */
    refused_per_s: quantitySchema,
    /** Tokens a second in the prompts that arrived. */
    prompt_tokens_per_s: quantitySchema,
    /** Expected tokens a second in the answers to the requests that arrived. */
    answer_tokens_per_s: quantitySchema,
    /** Requests that wait at the moment of the report. */
    waiting: quantitySchema,
    /** Refused callers whose `Retry-After` has not passed yet. */
    returns: quantitySchema,
    /** Offered tokens a second of the largest organisations; the others are summed under the empty name. */
    organisations: z.record(nameSchema, z.number())
        .refine((names) => Object.keys(names).length <= MAX_DEMAND_ORGANISATIONS + 1)
        .optional(),
});

/** Classes of one service by rank; rank 0 is the most urgent. */
const serviceDemandSchema = z.object({ classes: z.record(z.string().regex(/^\d{1,2}$/), classDemandSchema) });

const servicesSchema = z.record(nameSchema, serviceDemandSchema);

/** Demand at one entry: services that are ranked, and their classes with any demand. */
export const demandReportSchema = z.object({
    services: servicesSchema.refine((services) => {
        const counts = Object.values(services).map(({ classes }) => Object.keys(classes).length);
        return counts.length <= MAX_DEMAND_CLASSES
            && counts.reduce((sum, one) => sum + one, 0) <= MAX_DEMAND_CLASSES;
    }),
});

/** Demand summed over all entries that reported recently, including the one that is answered. */
export const demandSummarySchema = z.object({
    services: servicesSchema,
    /** Number of entries in the sum. */
    reporters: z.int().nonnegative(),
});

/** Demand of one class of a service. */
export type ClassDemand = z.infer<typeof classDemandSchema>;
/** Demand of one class as sent, without the members that are 0. */
export type SentClassDemand = z.input<typeof classDemandSchema>;
/** Demand at one entry. */
export type DemandReport = z.input<typeof demandReportSchema>;
/** Demand summed over all entries. */
export type DemandSummary = z.input<typeof demandSummarySchema>;
