/**
 * The parts of the operators' command that other tools use.
 * @packageDocumentation
 */
export { formatTimeline, parseEvent, readTimeline, type TimelineEvent, type TimelineFilter } from "./timeline.js";
