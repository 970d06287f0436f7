"""Measures in virtual time how evenly many entries fill the engines; prints a row for each case.

Figures are means over seeds; the most requests beyond the slots is the most of all.
"""

from typing import Final

import click

from gypsumpier.test.even_load import CASES, Figures, figures_of, mean_figures

MS_PER_S: Final = 1000.0


def row(name: str, load: float, runs: list[Figures]) -> str:
    """Return the line of a case."""
    mean = mean_figures(runs)
    beyond = max(run.beyond_slots for run in runs)
    times = " ".join(f"{MS_PER_S * s:6.0f}" for s in (mean.p50_s, mean.p95_s, mean.p99_s))
    return (
        f"{name:8} {load:4.1f} {mean.imbalance:6.3f} {mean.imbalance_most:6.2f} "
        f"{mean.beyond_slots:6.1f} {beyond:5.0f} {mean.uneven_share:6.3f} {times} "
        f"{mean.refused:7.1f} {mean.requests:8.0f}"
    )


@click.command()
@click.option("--seeds", default=3, help="Runs of each case.")
@click.option("--first-seed", default=1, help="Seed of the first run.")
@click.option("--case", "names", multiple=True, help="Case to run; all without one.")
def main(seeds: int, first_seed: int, names: tuple[str, ...]) -> None:
    """Print the table."""
    click.echo(
        "case     load   imb.  worst beyond  most uneven    p50    p95    p99 refused requests"
    )
    for name, load in CASES:
        if not names or name in names:
            case_runs = [
                figures_of(case, seed)
                for case in CASES
                if case == (name, load)
                for seed in range(first_seed, first_seed + seeds)
            ]
            click.echo(row(name, load, case_runs))


if __name__ == "__main__":
    main()
