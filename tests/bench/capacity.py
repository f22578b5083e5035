"""Generates the tables of docs/CAPACITY.md from the committed measurement of make slopes."""

import argparse
import json
import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DATA = os.path.join(ROOT, "docs", "capacity", "slopes.json")
EARLIER_DATA = os.path.join(ROOT, "docs", "capacity", "slopes-before.json")
PAGE = os.path.join(ROOT, "docs", "CAPACITY.md")
BEGIN, END = "<!-- begin {} -->", "<!-- end {} -->"
# The target of slopes.py: 440 agents, and 57 starts/s over 23 teams.
TARGET_AGENTS = 440
TARGET_STARTS_PER_TEAM_S = 57 / 23
# Upper bounds of the cost of a daemon at the target; None: no bound.
BUDGET = {"inner_bytes_s": 10_000, "store_bytes_s": None, "cpu": 0.012, "rss_mb": 256}
COST_NAMES = {"inner_bytes_s": "control between daemons, B/s",
              "store_bytes_s": "table service, B/s",
              "cpu": "CPU, part of a core", "rss_mb": "memory, MB"}
# Upper bounds of the calls to the table service at the target.
STORE_BUDGET = {"store_reads_s": 2000, "store_writes_s": 400}


def fit_line(points):
    """Least-squares line through (x, y); returns intercept, slope, root mean square error."""
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


def format_number(value):
    if value is None:
        return "-"
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.4g}"


def verdict(value, budget):
    if budget is None:
        return ""
    return "pass" if value <= budget else "short"


def projection_row(name, points, budget, unit=""):
    base, slope, error = fit_line(points)
    at = project_to_target(points)
    return (f"| {name} | {format_number(base)} | {format_number(slope)} | {format_number(error)} | "
            f"{format_number(at)}{unit} | "
            f"{format_number(budget) if budget is not None else '-'} | {verdict(at, budget)} |")


def fit_plane(rows):
    """Least-squares fit of y = a + b u + c v by the normal equations; rows of (u, v, y)."""
    matrix = [[0.0] * 4 for _ in range(3)]
    for u, v, y in rows:
        terms = (1, u, v)
        for i in range(3):
            for j in range(3):
                matrix[i][j] += terms[i] * terms[j]
            matrix[i][3] += terms[i] * y
    for i in range(3):
        pivot = max(range(i, 3), key=lambda r: abs(matrix[r][i]))
        matrix[i], matrix[pivot] = matrix[pivot], matrix[i]
        for r in range(3):
            if r != i:
                factor = matrix[r][i] / matrix[i][i]
                matrix[r] = [x - factor * y for x, y in zip(matrix[r], matrix[i])]
    return [matrix[i][3] / matrix[i][i] for i in range(3)]


def queue_costs(runs, key):
    """Rows (starts/s of a team, agents, cost per owned queue).

    The cost per queue is that of an owner minus that of an agent without queues, divided by the
    number of queues of an owner.
    """
    return [(run["starts_per_s"] / run["teams"], run["agents"],
             (run[f"owner_{key}"] - run[f"agent_{key}"]) / run["owner_queues"]) for run in runs]


def queue_row(runs, key, budget):
    # u is starts/s of a team, v the number of agents, y the cost per queue.
    rows = queue_costs(runs, key)
    base, by_start, by_agent = fit_plane(rows)
    error = (sum((y - base - by_start * u - by_agent * v) ** 2 for u, v, y in rows) /
             len(rows)) ** .5
    largest = [y for _, v, y in rows if v == max(v for _, v, _ in rows)]
    queue_cost = max(base + by_start * TARGET_STARTS_PER_TEAM_S + by_agent * TARGET_AGENTS,
                     sorted(largest)[len(largest) // 2])
    agent_cost = project_to_target(points_of(runs, f"agent_{key}"))
    return (f"| {COST_NAMES[key]} | {format_number(base)} | {format_number(by_start)} | "
            f"{format_number(by_agent)} | {format_number(error)} | {format_number(queue_cost)} | "
            f"{format_number(agent_cost + queue_cost)} | {format_number(budget)} | "
            f"{verdict(agent_cost + queue_cost, budget)} |")


def queue_table(data):
    lines = ["| one queue, beside the agent's own cost | base | slope a start/s | slope an agent | "
             "error of fit | queue at the target | with the agent | budget | |",
             "|---|---|---|---|---|---|---|---|---|"]
    for key in ("inner_bytes_s", "cpu"):
        lines.append(queue_row(data["runs"], key, BUDGET[key]))
    return lines


def project_to_target(points):
    """Value of the fitted line at the target, or the median at the largest size if that is more."""
    base, slope, _ = fit_line(points)
    top = max(x for x, _ in points)
    largest = sorted(y for x, y in points if x == top)
    return max(base + slope * TARGET_AGENTS, largest[len(largest) // 2])


def projection_table(data):
    runs = data["runs"]
    lines = [f"Measured {data['date']} by `make slopes`, {len(runs)} runs of "
             f"{data['window_s']:.0f} s at "
             f"{', '.join(str(n) for n in sorted({r['agents'] for r in runs}))} agents. "
             f"Projected to {TARGET_AGENTS} agents: base + slope x agents, and never below the "
             "median at the largest size.", "",
             "| role, cost | base | slope an agent | error of fit | at the target | budget | |",
             "|---|---|---|---|---|---|---|"]
    for role in ("entry", "agent"):
        for key, budget in BUDGET.items():
            lines.append(projection_row(f"{role}, {COST_NAMES[key]}",
                                        points_of(runs, f"{role}_{key}"), budget))
    for key, budget in STORE_BUDGET.items():
        # key[6:-2] is "reads" or "writes".
        lines.append(projection_row(f"table service, {key[6:-2]}/s", points_of(runs, key), budget))
    return lines


def measured_table(data):
    keys = [("entry_inner_bytes_s", "entry B/s"), ("agent_inner_bytes_s", "agent B/s"),
            ("owner_inner_bytes_s", "owner B/s"), ("entry_cpu", "entry CPU"),
            ("agent_cpu", "agent CPU"), ("owner_cpu", "owner CPU"), ("store_reads_s", "reads/s"),
            ("store_writes_s", "writes/s"), ("starts_per_s", "starts/s"), ("edit_s", "edit s"),
            ("leave_s", "leaving s"), ("dead_s", "dead s")]
    lines = ["| agents | runs | " + " | ".join(title for _, title in keys) + " |",
             "|---" * (len(keys) + 2) + "|"]
    for agents in sorted({run["agents"] for run in data["runs"]}):
        rows = [run for run in data["runs"] if run["agents"] == agents]
        cells = []
        for key, _ in keys:
            values = sorted(run[key] for run in rows if run.get(key) is not None)
            cells.append(f"{format_number(values[len(values) // 2])} "
                         f"({format_number(values[0])} to {format_number(values[-1])})"
                         if values else "-")
        lines.append(f"| {agents} | {len(rows)} | " + " | ".join(cells) + " |")
    return lines


def read_earlier_data():
    with open(EARLIER_DATA, encoding="utf-8") as file:
        return json.load(file)


def build_tables():
    with open(DATA, encoding="utf-8") as file:
        data = json.load(file)
    return {"projection": "\n".join(projection_table(data)),
            "queues": "\n".join(queue_table(data)),
            "before": "\n".join(measured_table(read_earlier_data())),
            "measured": "\n".join(measured_table(data))}


def render_page(page):
    for name, text in build_tables().items():
        begin, end = BEGIN.format(name), END.format(name)
        head, rest = page.split(begin)
        _, tail = rest.split(end)
        page = f"{head}{begin}\n{text}\n{end}{tail}"
    return page


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--check", action="store_true", help="only check whether the page agrees")
    args = parser.parse_args()
    with open(PAGE, encoding="utf-8") as file:
        page = file.read()
    updated = render_page(page)
    if args.check:
        print("the page agrees with its data" if updated == page
              else "the page differs; run make capacity")
        return 0 if updated == page else 1
    with open(PAGE, "w", encoding="utf-8") as file:
        file.write(updated)
    return 0


if __name__ == "__main__":
    sys.exit(main())
