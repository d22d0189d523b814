"""Breadth-first search of the states of a model, up to a depth or to a number of states.

A model gives its initial states, the steps from a state, and the property that a state breaks. A state whose canonical
form has been visited is not visited again. The search records the steps to the first state that breaks a property.
"""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Hashable, Iterable, Sequence
from dataclasses import dataclass, field
from multiprocessing.pool import Pool
from typing import Any, NamedTuple, Protocol

MAX_CHUNK_STATES = 2_000  # in one task of a worker process
CHUNKS_PER_JOB = 4


class Model(Protocol):
    """A model to search; its states are hashable."""

    def initial_states(self) -> Iterable[Any]:
        """Returns the initial states."""

    def steps(self, state: Any) -> Iterable[tuple[str, Any]]:
        """Returns the steps from a state, as (name, next state)."""

    def canonical(self, state: Any) -> Hashable:
        """Returns the canonical form: equal for states that differ only in the numbering of interchangeable parts."""

    def broken_property(self, state: Any) -> str:
        """Returns the name of the property that the state breaks, or an empty string."""


@dataclass(slots=True)
class SearchResult:
    """The result of a search; if it is `complete`, all states up to `depth` were visited.

    `path` has the steps to the state that breaks `broken_property`.
    """

    states: int = 0
    steps: int = 0
    depth: int = 0
    complete: bool = False
    broken_property: str = ""
    path: list[str] = field(default_factory=list)
    by_step: dict[str, int] = field(default_factory=dict)


class NumberedState(NamedTuple):
    """A visited state."""

    number: int
    state: Any


class Successor(NamedTuple):
    """A step from the state at `parent_index` of a list; `key` is the hash of the canonical form of the next state.

    `state` is None if an earlier step from the same list led to the same key: it is sent between processes once.
    """

    parent_index: int
    step: str
    state: Any
    key: int
    broken_property: str


_model: Model | None = None  # inherited by forked worker processes


def _expand(states: list[Any]) -> list[Successor]:
    assert _model is not None, "search sets the model before it starts workers"
    successors: list[Successor] = []
    keys: set[int] = set()
    for index, state in enumerate(states):
        for step, after in _model.steps(state):
            key = hash(_model.canonical(after))
            if key in keys:
                successors.append(Successor(index, step, None, key, ""))
            else:
                keys.add(key)
                successors.append(Successor(index, step, after, key, _model.broken_property(after)))
    return successors


class _Search:
    """A search in progress."""

    def __init__(self, model: Model, max_states: int):
        self._model = model
        self._max_states = max_states
        self.result = SearchResult()
        self._parents: dict[int, tuple[int, str]] = {}  # by state number: the parent's number and the step
        self._seen: set[int] = set()
        self.frontier: list[NumberedState] = []

    def begin(self) -> bool:
        """Visits the initial states; returns whether the search ends with them."""
        for state in self._model.initial_states():
            key = hash(self._model.canonical(state))
            if key not in self._seen:
                self._seen.add(key)
                self.result.states += 1
                self.frontier.append(NumberedState(self.result.states, state))
                self.result.broken_property = self._model.broken_property(state)
                if self.result.broken_property:
                    return True
        return False

    def chunks(self, jobs: int) -> list[list[NumberedState]]:
        """Returns the states of the current depth, divided into tasks for worker processes."""
        size = MAX_CHUNK_STATES
        if jobs > 1:
            size = max(1, min(size, len(self.frontier) // (CHUNKS_PER_JOB * jobs) + 1))
        return [self.frontier[start : start + size] for start in range(0, len(self.frontier), size)]

    def enter_level(self, chunks: list[list[NumberedState]], results: Iterable[Sequence[Successor]]) -> bool:
        """Visits the successors of all chunks; returns whether the search ends with them."""
        level: list[NumberedState] = []
        for chunk, successors in zip(chunks, results, strict=True):
            for successor in successors:
                if self._enter(chunk[successor.parent_index].number, successor):
                    if successor.broken_property:
                        self._record_violation(successor.broken_property)
                        return True
                    level.append(NumberedState(self.result.states, successor.state))
            if self.result.states >= self._max_states:
                return True
        self.result.depth += 1
        self.frontier = level
        return False

    def _enter(self, parent: int, successor: Successor) -> bool:
        """Counts a step; returns whether it leads to a new state."""
        result = self.result
        result.steps += 1
        kind = successor.step.partition(" ")[0]
        result.by_step[kind] = result.by_step.get(kind, 0) + 1
        if successor.key in self._seen:
            return False
        self._seen.add(successor.key)
        result.states += 1
        self._parents[result.states] = parent, successor.step
        return True

    def _record_violation(self, broken_property: str) -> None:
        self.result.broken_property = broken_property
        number = self.result.states
        path: list[str] = []
        while number in self._parents:
            number, step = self._parents[number]
            path.append(step)
        self.result.path = path[::-1]


def search(
    model: Model,
    max_states: int,
    max_depth: int = 1_000,
    jobs: int = 1,
    progress: Callable[[SearchResult], None] | None = None,
) -> SearchResult:
    """Searches until a state breaks a property, to `max_depth` steps, or until `max_states` states are visited.

    With `jobs` above 1, the model must be usable in forked processes. `progress` is called after each depth.
    """
    global _model
    _model = model
    if jobs == 1:
        return _run(model, max_states, max_depth, jobs, progress, None)
    pool = multiprocessing.get_context("fork").Pool(jobs)
    try:
        return _run(model, max_states, max_depth, jobs, progress, pool)
    finally:
        pool.close()
        pool.join()


def _run(
    model: Model,
    max_states: int,
    max_depth: int,
    jobs: int,
    progress: Callable[[SearchResult], None] | None,
    pool: Pool | None,
) -> SearchResult:
    current = _Search(model, max_states)
    if current.begin():
        return current.result
    while current.frontier and current.result.depth < max_depth:
        chunks = current.chunks(jobs)
        states = [[numbered.state for numbered in chunk] for chunk in chunks]
        # Waits for the whole level: a pool that is closed during its work may never terminate.
        results = pool.map(_expand, states, 1) if pool is not None else map(_expand, states)
        if current.enter_level(chunks, results):
            return current.result
        if progress is not None:
            progress(current.result)
    current.result.complete = True
    return current.result
