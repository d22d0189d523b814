"""Breadth-first search over states that are tuples: all of them to a depth, or to a number of states. Pure.

A model gives its first states, the steps out of one, and what is wrong with one. A state that was seen, or is
like one that was (`canonical`), is not entered again. The path to the first wrong state is kept as steps."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

State = Hashable


class Model(Protocol):
    def first(self) -> Iterable[State]: ...

    def steps(self, state: State) -> Iterable[tuple[str, State]]:
        """(name, the state it leads to)."""

    def canonical(self, state: State) -> State:
        """The same for states that differ only in the names of like parts."""

    def wrong(self, state: State) -> str:
        """Which property it breaks, or empty."""


@dataclass(slots=True)
class Found:
    """`complete`: everything to `depth` was seen. `path` leads to what is `wrong`."""

    states: int = 0
    steps: int = 0
    depth: int = 0
    complete: bool = False
    wrong: str = ""
    path: list[str] = field(default_factory=list)
    by_step: dict[str, int] = field(default_factory=dict)


_model: Model | None = None


def _expand(states: list[State]) -> list[tuple[int, str, State, State, str]]:
    """(number of the state it is from, step, state, its canonical form, what is wrong)."""
    out = []
    for number, state in enumerate(states):
        for name, after in _model.steps(state):
            out.append((number, name, after, _model.canonical(after), _model.wrong(after)))
    return out


def search(
    model: Model,
    most_states: int,
    most_depth: int = 1_000,
    jobs: int = 1,
    progress: Callable[[Found], None] | None = None,
) -> Found:
    """Ends at the first wrong state, after `most_depth` steps, or past `most_states`. With `jobs` over 1 the
    model must be one that forked processes may hold."""
    global _model
    _model = model
    found = Found()
    parents: dict[int, tuple[int, str]] = {}  # state's number: its parent's, the step
    seen: set[int] = set()
    frontier: list[tuple[int, State]] = []
    for state in model.first():
        key = hash(model.canonical(state))
        if key not in seen:
            seen.add(key)
            found.states += 1
            frontier.append((found.states, state))
            if wrong := model.wrong(state):
                found.wrong = wrong
                return found
    pool = multiprocessing.get_context("fork").Pool(jobs) if jobs > 1 else None
    try:
        while frontier and found.depth < most_depth:
            size = max(1, min(2_000, len(frontier) // (4 * jobs) + 1)) if pool else 2_000
            chunks = [frontier[i : i + size] for i in range(0, len(frontier), size)]
            states = [[state for _, state in chunk] for chunk in chunks]
            # The whole level: a pool that is ended amid its work may never end.
            results = pool.map(_expand, states, 1) if pool else map(_expand, states)
            after: list[tuple[int, State]] = []
            for chunk, result in zip(chunks, results, strict=True):
                for number, name, state, canonical, wrong in result:
                    found.steps += 1
                    kind = name.partition(" ")[0]
                    found.by_step[kind] = found.by_step.get(kind, 0) + 1
                    key = hash(canonical)
                    if key in seen:
                        continue
                    seen.add(key)
                    found.states += 1
                    parents[found.states] = chunk[number][0], name
                    if wrong:
                        found.wrong, found.path = wrong, _path(parents, found.states)
                        return found
                    after.append((found.states, state))
                if found.states >= most_states:
                    return found
            found.depth += 1
            frontier = after
            if progress is not None:
                progress(found)
        found.complete = True
        return found
    finally:
        if pool is not None:
            pool.close()
            pool.join()


def _path(parents: dict[int, tuple[int, str]], number: int) -> list[str]:
    path = []
    while number in parents:
        number, name = parents[number]
        path.append(name)
    return path[::-1]
