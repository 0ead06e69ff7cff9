"""Renders the reports of the policy benchmark as a page of ratios and goals."""

from statistics import median

MEASURES = ("p99", "cost", "away", "goodput", "attempts")
INTRO = """# Benchmarks

Written by `{command}` ({seconds:g} s of load for each phase, seeds {seeds}). The
policies run side by side on separate processes over loopback, with the delays of the
deployment and slots as the limit of capacity. Each cell is the figure of the policy
divided by that of the baseline in the same run, as the median over the seeds; below 1
is better for p99, cost, away and attempts, above 1 for goodput. p99 covers all calls: a
call without an answer counts with its deadline. `-` means that the baseline's figure
is 0. Absolute times are not compared between runs.
"""


def render_page(runs, command: str, seconds: float) -> str:
    """Return the page of all deployments as Markdown."""
    seeds = ", ".join(str(seed) for seed in next(iter(runs.values())))
    parts = [INTRO.format(command=command, seconds=seconds, seeds=seeds)]
    for deployment, by_seed in runs.items():
        parts.append(f"## {deployment}\n")
        parts.append(_ratios(by_seed))
        parts.append("\nGoals:\n")
        parts += [f"- {line}" for line in evaluate_goals(deployment, by_seed)]
        parts.append("")
    return "\n".join(parts)


def _ratios(by_seed) -> str:
    header = f"| phase | baseline | {' | '.join(MEASURES)} |"
    rows = [header, "|---" * (2 + len(MEASURES)) + "|"]
    first = next(iter(by_seed.values()))
    for phase, reports in first.items():
        for baseline in reports:
            if baseline != "policy":
                cells = [
                    _ratio(by_seed, phase, baseline, measure) for measure in MEASURES
                ]
                rows.append(f"| {phase} | {baseline} | {' | '.join(cells)} |")
    return "\n".join(rows)


def _ratio(by_seed, phase, baseline, measure) -> str:
    ratios = [
        reports[phase]["policy"][measure] / reports[phase][baseline][measure]
        for reports in by_seed.values()
        if reports[phase][baseline][measure]
    ]
    return f"{median(ratios):.2f}" if ratios else "-"


def evaluate_goals(deployment: str, by_seed) -> list[str]:
    """Return one line for each goal, which says whether the goal was met."""
    lines = []
    runs = list(by_seed.values())
    if all({"healthy 1.0", "healthy 2.0"} <= set(run) for run in runs):
        ratio = median(
            run["healthy 2.0"]["policy"]["goodput"]
            / run["healthy 1.0"]["policy"]["goodput"]
            for run in runs
        )
        lines.append(
            _format_goal("goodput at 2.0 / goodput at 1.0", ratio, ratio >= 0.95)
        )
    if all("region out" in run for run in runs):
        worst = max(run["region out"]["policy"]["attempts"] for run in runs)
        lines.append(
            _format_goal("most attempts per call, region out", worst, worst <= 1.1)
        )
    measures = ("p99",) if deployment == "cooperativa" else ("cost", "away")
    for measure in measures:
        for phase in runs[0]:
            lines.append(_compare_with_best(runs, phase, measure))
    return lines


def _compare_with_best(runs, phase, measure) -> str:
    baselines = [name for name in runs[0][phase] if name != "policy"]
    best = min(
        baselines,
        key=lambda name: median(run[phase][name][measure] for run in runs),
    )
    pairs = [(run[phase]["policy"][measure], run[phase][best][measure]) for run in runs]
    ratios = [
        policy_value / baseline_value
        for policy_value, baseline_value in pairs
        if baseline_value
    ]
    if not ratios:
        policy_value = median(policy_value for policy_value, _ in pairs)
        return _format_goal(
            f"{measure}, {phase}: figure of the policy; {best} has 0",
            policy_value,
            policy_value <= 0,
        )
    ratio = median(ratios)
    return _format_goal(
        f"{measure}, {phase}: / best baseline ({best})", ratio, ratio < 1
    )


def _format_goal(text: str, value: float, met: bool) -> str:
    return f"{text}: {value:.3f} ({'met' if met else 'falls short'})"
