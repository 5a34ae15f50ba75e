#include "output.h"
#include "timeline.h"

namespace poplardeal::detail {

static constexpr const char* pageHead = R"html(<!doctype html>
<html lang="en">
<meta charset="utf-8">
<meta name="viewport" content="width=device-width">
<title>poplardeal timeline</title>
<style>
:root { color-scheme: light dark; --line: #8886; --info: #2a6fb0; --warning: #b07a00; --error: #b3261e; --debug: #808080; }
body { font: 14px/1.4 system-ui, sans-serif; margin: 1rem; }
header { display: flex; flex-wrap: wrap; gap: 1rem; align-items: baseline; }
h1 { font-size: 1.1rem; margin: 0; }
#lanes { overflow-x: auto; border: 1px solid var(--line); margin: 1rem 0; }
.lane { display: grid; grid-template-columns: 14rem 1fr; border-bottom: 1px solid var(--line); min-width: 60rem; }
.name { padding: .4rem; border-right: 1px solid var(--line); overflow-wrap: anywhere; }
.track { position: relative; height: 2.2rem; }
.mark { position: absolute; top: .5rem; width: .5rem; height: 1.2rem; margin-left: -.25rem; padding: 0; border: 0;
  border-radius: 2px; opacity: .8; cursor: pointer; background: var(--info); }
.mark.warning { background: var(--warning); } .mark.error { background: var(--error); } .mark.debug { background: var(--debug); }
.mark:hover, .mark:focus, .mark.chosen { opacity: 1; outline: 2px solid currentColor; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: .2rem .6rem; border-bottom: 1px solid var(--line); vertical-align: top; }
td.fields { font-family: ui-monospace, monospace; overflow-wrap: anywhere; }
tr.chosen { background: #8883; }
td.warning { color: var(--warning); } td.error { color: var(--error); }
</style>
<header>
<h1>poplardeal timeline</h1>
<label>Filter <input id="filter" type="search" placeholder="text in any column"></label>
<label>Place marks by <select id="axis"><option value="time">time</option><option value="order">order</option></select></label>
<span id="count"></span>
</header>
<div id="lanes"></div>
<table><thead><tr><th>Time<th>Clock<th>Process<th>Data centre<th>Level<th>Event<th>Fields</tr></thead><tbody id="rows"></tbody></table>
<script id="events" type="application/json">)html";

static constexpr const char* pageScript = R"html(</script>
<script>
"use strict";
const events = JSON.parse(document.getElementById("events").textContent);
const common = new Set(["clock", "time", "process", "data_centre", "level", "event"]);
for (const [index, event] of events.entries()) {
  const own = Object.entries(event).filter(([key]) => !common.has(key));
  event.index = index;
  event.micros = Date.parse(event.time.slice(0, 19) + "Z") * 1000 + Number((event.time.slice(20, 26) + "000000").replace(/\D/g, "").slice(0, 6));
  event.text = own.map(([key, value]) => key + "=" + JSON.stringify(value)).join(" ");
}
const element = (tag, text, name) => {
  const made = document.createElement(tag);
  made.textContent = text;
  if (name) made.className = name;
  return made;
};
const choose = (index) => {
  for (const old of document.querySelectorAll(".chosen")) old.classList.remove("chosen");
  for (const now of document.querySelectorAll(`[data-index="${index}"]`)) now.classList.add("chosen");
  document.querySelector(`tr[data-index="${index}"]`).scrollIntoView({ block: "nearest" });
};
const places = (shown) => {
  if (document.getElementById("axis").value === "order") return shown.map((_, i) => (i + .5) / shown.length);
  const first = Math.min(...shown.map((e) => e.micros)), last = Math.max(...shown.map((e) => e.micros));
  return shown.map((e) => .01 + .98 * (last > first ? (e.micros - first) / (last - first) : .5));
};
const draw = () => {
  const wanted = document.getElementById("filter").value.toLowerCase();
  const shown = events.filter((e) => [e.time, e.process, e.data_centre, e.level, e.event, e.text].join(" ").toLowerCase().includes(wanted));
  document.getElementById("count").textContent = `${shown.length} of ${events.length} events`;
  const lanes = new Map();
  const at = places(shown);
  const laneList = document.getElementById("lanes");
  const rows = document.getElementById("rows");
  laneList.replaceChildren();
  rows.replaceChildren();
  for (const [i, event] of shown.entries()) {
    if (!lanes.has(event.process)) {
      const lane = element("div", "", "lane");
      const track = element("div", "", "track");
      lane.append(element("div", event.process + (event.data_centre ? " (" + event.data_centre + ")" : ""), "name"), track);
      laneList.append(lane);
      lanes.set(event.process, track);
    }
    const mark = element("button", "", "mark " + event.level);
    mark.style.left = 100 * at[i] + "%";
    mark.title = `${event.time} ${event.event} ${event.text}`;
    mark.dataset.index = event.index;
    mark.addEventListener("click", () => choose(event.index));
    lanes.get(event.process).append(mark);
    const row = document.createElement("tr");
    row.dataset.index = event.index;
    row.append(element("td", event.time), element("td", event.clock), element("td", event.process), element("td", event.data_centre),
      element("td", event.level, event.level), element("td", event.event), element("td", event.text, "fields"));
    row.addEventListener("click", () => choose(event.index));
    rows.append(row);
  }
};
document.getElementById("filter").addEventListener("input", draw);
document.getElementById("axis").addEventListener("change", draw);
draw();
</script>
</html>
)html";

/// JSON for a script element: a log field must not be able to end the element.
static std::string embeddedJson(const nlohmann::json& value)
{
    std::string text;
    for (const char c : jsonLine(value)) {
        if (c == '<')
            text += "\\u003c";
        else
            text += c;
    }
    return text;
}

std::string timelinePage(const std::vector<timeline_event>& events)
{
    return pageHead + embeddedJson(timelineJson(events)) + pageScript;
}

} // namespace poplardeal::detail
