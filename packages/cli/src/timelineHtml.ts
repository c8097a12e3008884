/**
 * The timeline as a self-contained HTML page: one lane per instance, with zoom, filter and event details.
 */
import type { TimelineEvent } from "./timeline.js";

const styles = `
body { font: 13px/1.4 system-ui, sans-serif; margin: 0; color: #1c2733; }
header { padding: 10px 16px; border-bottom: 1px solid #cfd8e0; display: flex; gap: 14px; align-items: center; }
h1 { font-size: 15px; margin: 0; }
input { font: inherit; padding: 3px 6px; width: 260px; }
#count { color: #5b6b7a; }
#chart { width: 100%; display: block; cursor: grab; }
.lane { stroke: #e3e9ee; }
.name { font-weight: 600; }
.tick { fill: #5b6b7a; font-size: 11px; }
#detail { position: fixed; right: 12px; bottom: 12px; max-width: 46em; background: #1c2733; color: #fff;
    padding: 8px 10px; border-radius: 4px; white-space: pre-wrap; display: none; }
circle { stroke: #fff; }
.info { fill: #2f7fb8; } .bad { fill: #c8452f; } .good { fill: #2f9a62; } .control { fill: #8a63b8; }
`;

/** Script of the page; a declaration of `events` is prepended. */
const script = `
const laneHeight = 56, left = 110, top = 34;
const chart = document.getElementById("chart"), filter = document.getElementById("filter");
const detail = document.getElementById("detail"), count = document.getElementById("count");
const instances = [...new Set(events.map((event) => event.instance))].sort();
const first = Math.min(...events.map((event) => event.ms)), last = Math.max(...events.map((event) => event.ms), first + 1);
let from = first, to = last;
const bad = /lost|overdue|failed|refused|fault|fenced|stray|not-settled/, good = /finished|accepted|in-force|config-applied|config-rolled-out/;
const control = /role|replicas|member|state|snapshot|listening/;
const kindOf = (name) => bad.test(name) ? "bad" : good.test(name) ? "good" : control.test(name) ? "control" : "info";
const add = (parent, name, attributes, text) => {
    const node = document.createElementNS("http://www.w3.org/2000/svg", name);
    for (const key in attributes) { node.setAttribute(key, attributes[key]); }
    if (text !== undefined) { node.textContent = text; }
    parent.append(node);
    return node;
};
const draw = () => {
    const width = chart.clientWidth, span = to - from;
    const place = (ms) => left + (ms - from) / span * (width - left - 20);
    chart.replaceChildren();
    chart.setAttribute("height", top + laneHeight * instances.length + 10);
    for (let index = 0; index <= 8; index += 1) {
        const ms = from + span * index / 8;
        add(chart, "text", { x: place(ms), y: 18, class: "tick", "text-anchor": "middle" }, (ms - first).toFixed(span < 50 ? 1 : 0) + " ms");
        add(chart, "line", { x1: place(ms), x2: place(ms), y1: 24, y2: top + laneHeight * instances.length, class: "lane" });
    }
    instances.forEach((name, lane) => {
        const y = top + laneHeight * (lane + 0.5);
        add(chart, "line", { x1: left, x2: width, y1: y, y2: y, class: "lane" });
        add(chart, "text", { x: 12, y: y + 4, class: "name" }, name);
    });
    const words = filter.value.toLowerCase().split(" ").filter((word) => word !== "");
    const shown = events.filter((event) => words.every((word) => event.text.includes(word)));
    count.textContent = shown.length + " of " + events.length + " events";
    const rows = new Map();
    for (const event of shown) {
        if (event.ms < from || event.ms > to) { continue; }
        const lane = instances.indexOf(event.instance), x = place(event.ms);
        const key = lane + ":" + Math.round(x / 9), row = rows.get(key) ?? 0;
        rows.set(key, row + 1);
        const y = top + laneHeight * (lane + 0.5) + ((row % 5) - 2) * 9;
        const dot = add(chart, "circle", { cx: x, cy: y, r: 5, class: kindOf(event.event) });
        dot.addEventListener("mouseenter", () => { detail.style.display = "block"; detail.textContent = event.line; });
        dot.addEventListener("mouseleave", () => { detail.style.display = "none"; });
        dot.addEventListener("click", () => { if (event.request) { filter.value = event.request; draw(); } });
    }
};
chart.addEventListener("wheel", (wheel) => {
    wheel.preventDefault();
    const share = Math.max(0, (wheel.offsetX - left) / (chart.clientWidth - left - 20));
    const span = Math.max(1, (to - from) * (wheel.deltaY < 0 ? 0.8 : 1.25)), middle = from + (to - from) * share;
    from = middle - span * share; to = from + span; draw();
}, { passive: false });
let dragged;
chart.addEventListener("mousedown", (mouse) => { dragged = { x: mouse.clientX, from, to }; });
window.addEventListener("mouseup", () => { dragged = undefined; });
window.addEventListener("mousemove", (mouse) => {
    if (!dragged) { return; }
    const moved = (mouse.clientX - dragged.x) / (chart.clientWidth - left - 20) * (dragged.to - dragged.from);
    from = dragged.from - moved; to = dragged.to - moved; draw();
});
document.getElementById("all").addEventListener("click", () => { from = first; to = last; filter.value = ""; draw(); });
filter.addEventListener("input", draw);
window.addEventListener("resize", draw);
draw();
`;

/**
 * Formats the timeline as an HTML page.
 * @param events - the events, in causal order
 * @returns the HTML document
 */
export function formatTimelineHtml(events: readonly TimelineEvent[]): string {
    const data = events.map((event) => {
        const fields = Object.entries(event.fields).map(([key, value]) => `${key}=${value}`).join(" ");
        const line = `${event.clock}  ${event.instance}  ${event.event}\n${fields}`;
        const [ms = "0", counter = "0"] = event.clock.split(".");
        return {
            // The counter keeps events of the same millisecond in causal order on the page.
            ms: Number(ms) + Number(counter) / COUNTERS_PER_MILLISECOND,
            instance: event.instance,
            event: event.event,
            request: event.fields.request,
            line,
            text: `${event.instance} ${event.event} ${fields}`.toLowerCase(),
        };
    });
    // An unescaped "<" in a log line could end the script element.
    const json = JSON.stringify(data).replaceAll("<", "\\u003c");
    return [
        '<!doctype html><html lang="en"><head><meta charset="utf-8"><title>crankfork timeline</title>',
        `<style>${styles}</style></head><body>`,
        '<header><h1>crankfork timeline</h1><input id="filter" placeholder="filter: request, event, peer...">',
        '<button id="all">reset view</button><span id="count"></span>',
        "<span>wheel to zoom, drag to pan, click an event to filter by its request</span></header>",
        '<svg id="chart"></svg><div id="detail"></div>',
        `<script type="module">const events = ${json};\n${script}</script></body></html>\n`,
    ].join("\n");
}

const COUNTERS_PER_MILLISECOND = 10_000;
