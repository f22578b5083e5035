"""Makes the tables of docs/CAPACITY.md from the committed measurement of make slopes."""

import argparse
import json
import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DATA = os.path.join(ROOT, "docs", "capacity", "slopes.json")
PAGE = os.path.join(ROOT, "docs", "CAPACITY.md")
BEGIN, END = "<!-- begin {} -->", "<!-- end {} -->"
TARGET_AGENTS = 440
BUDGET = {"inner_bytes_s": 10_000, "store_bytes_s": None, "cpu": 0.012, "rss_mb": 256}
NAMES = {"inner_bytes_s": "control between daemons, B/s", "store_bytes_s": "table service, B/s",
         "cpu": "CPU, part of a core", "rss_mb": "memory, MB"}
STORE_BUDGET = {"store_reads_s": 2000, "store_writes_s": 400}


def fit(points):
    """Least squares line through (x, y); returns intercept, slope, root mean square error."""
    n = len(points)
    mx = sum(x for x, _ in points) / n
    my = sum(y for _, y in points) / n
    var = sum((x - mx) ** 2 for x, _ in points)
    slope = sum((x - mx) * (y - my) for x, y in points) / var if var else 0
    base = my - slope * mx
    error = (sum((y - base - slope * x) ** 2 for x, y in points) / n) ** 0.5
    return base, slope, error


def points_of(runs, key):
    return [(run["agents"], run[key]) for run in runs if run.get(key) is not None]


def digits(value):
    if value is None:
        return "-"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.4g}"


def verdict(value, budget):
    if budget is None:
        return ""
    return "pass" if value <= budget else "short"


def line(name, points, budget, unit=""):
    base, slope, error = fit(points)
    at = base + slope * TARGET_AGENTS
    return (f"| {name} | {digits(base)} | {digits(slope)} | {digits(error)} | {digits(at)}{unit} | "
            f"{digits(budget) if budget is not None else '-'} | {verdict(at, budget)} |")


def projection(data):
    runs = data["runs"]
    out = [f"Measured {data['date']} by `make slopes`, {len(runs)} runs of {data['window_s']:.0f} s "
           f"at {', '.join(str(n) for n in sorted({r['agents'] for r in runs}))} agents. "
           f"Projected to {TARGET_AGENTS} agents: base + slope x agents.", "",
           "| role, cost | base | slope an agent | error of fit | at the target | budget | |",
           "|---|---|---|---|---|---|---|"]
    for role in ("entry", "agent", "owner"):
        for key, budget in BUDGET.items():
            out.append(line(f"{role}, {NAMES[key]}", points_of(runs, f"{role}_{key}"), budget))
    for key, budget in STORE_BUDGET.items():
        out.append(line(f"table service, {key[6:-2]}/s", points_of(runs, key), budget))
    return out


def measured(data):
    keys = [("entry_inner_bytes_s", "entry B/s"), ("agent_inner_bytes_s", "agent B/s"),
            ("owner_inner_bytes_s", "owner B/s"), ("entry_cpu", "entry CPU"),
            ("agent_cpu", "agent CPU"), ("owner_cpu", "owner CPU"), ("store_reads_s", "reads/s"),
            ("store_writes_s", "writes/s"), ("starts_per_s", "starts/s"), ("edit_s", "edit s"),
            ("leave_s", "leaving s"), ("dead_s", "dead s")]
    out = ["| agents | runs | " + " | ".join(title for _, title in keys) + " |",
           "|---" * (len(keys) + 2) + "|"]
    for agents in sorted({run["agents"] for run in data["runs"]}):
        rows = [run for run in data["runs"] if run["agents"] == agents]
        cells = []
        for key, _ in keys:
            values = sorted(run[key] for run in rows if run.get(key) is not None)
            cells.append(f"{digits(values[len(values) // 2])} ({digits(values[0])} to "
                         f"{digits(values[-1])})" if values else "-")
        out.append(f"| {agents} | {len(rows)} | " + " | ".join(cells) + " |")
    return out


def tables():
    with open(DATA, encoding="utf-8") as file:
        data = json.load(file)
    return {"projection": "\n".join(projection(data)), "measured": "\n".join(measured(data))}


def render(page):
    for name, text in tables().items():
        begin, end = BEGIN.format(name), END.format(name)
        head, rest = page.split(begin)
        _, tail = rest.split(end)
        page = f"{head}{begin}\n{text}\n{end}{tail}"
    return page


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--check", action="store_true", help="only tell whether the page agrees")
    args = parser.parse_args()
    with open(PAGE, encoding="utf-8") as file:
        page = file.read()
    made = render(page)
    if args.check:
        print("the page agrees with its data" if made == page else "the page differs; run make capacity")
        return 0 if made == page else 1
    with open(PAGE, "w", encoding="utf-8") as file:
        file.write(made)
    return 0


if __name__ == "__main__":
    sys.exit(main())
