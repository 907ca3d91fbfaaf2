"""Compiles the rules of a request class to CEL programs and evaluates them.

Validation reports all errors at once, each with its place: syntax errors, unknown names, conditions that
don't evaluate to a boolean, unreachable rules, and classes whose last rule doesn't always answer.
"""

import itertools
from dataclasses import dataclass

import cel

from yokesill.policy.facts import FACT_NAMES, Facts, Stage
from yokesill.resources.documents import Refuse, RequestClass, Rule, Serve, Service
from yokesill.resources.validation import DocumentError

ALWAYS = "true"
MAXIMUM_CALLS = 20

Outcome = Serve | Refuse
NO_RULE_ANSWERED = Refuse(refuse="no rule of the policy answers for this request", retry_after_ms=0)


@dataclass(frozen=True, slots=True)
class CompiledRule:
    """A rule with its compiled condition; ``program`` is ``None`` for a rule that always answers."""

    program: cel.Program | None
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Decision:
    """The outcome of a policy and the index of the rule that gave it (``None`` when no rule matched)."""

    outcome: Outcome
    rule_index: int | None


@dataclass(frozen=True, slots=True)
class CompiledPolicy:
    """The compiled rules of one request class."""

    priority: int
    rules: tuple[CompiledRule, ...]

    def evaluate(self, facts: Facts) -> Decision:
        """Return the outcome of the first rule whose condition holds for ``facts``."""
        variables = None
        for index, rule in enumerate(self.rules):
            if rule.program is None:
                return Decision(rule.outcome, index)
            if variables is None:
                variables = facts.to_cel()
            if rule.program.execute(variables) is True:
                return Decision(rule.outcome, index)
        return Decision(NO_RULE_ANSWERED, None)


def compile_class(request_class: RequestClass) -> CompiledPolicy:
    """Compile a class that has passed ``validate_service``."""
    rules = tuple(CompiledRule(_program(rule.when), rule.then) for rule in request_class.rules)
    return CompiledPolicy(request_class.priority, rules)


def validate_service(service: Service) -> list[DocumentError]:
    """Return every error in the policies of ``service``."""
    errors: list[DocumentError] = []
    for name, request_class in service.classes.items():
        errors.extend(_validate_class(f"classes.{name}", request_class))
    return errors


def _program(condition: str) -> cel.Program | None:
    if condition.strip() == ALWAYS:
        return None
    return cel.compile(condition)


def _validate_class(place: str, request_class: RequestClass) -> list[DocumentError]:
    errors: list[DocumentError] = []
    always_at: int | None = None
    seen: dict[str, int] = {}
    for index, rule in enumerate(request_class.rules):
        rule_place = f"{place}.rules.{index}"
        condition = " ".join(rule.when.split())
        if always_at is not None:
            errors.append(
                DocumentError(rule_place, f"unreachable: rule {always_at} always answers before it")
            )
        elif condition in seen:
            errors.append(
                DocumentError(rule_place, f"unreachable: rule {seen[condition]} has the same condition")
            )
        seen.setdefault(condition, index)
        if always_at is None and condition == ALWAYS:
            always_at = index
        errors.extend(_validate_condition(f"{rule_place}.when", rule))
    if always_at is None:
        message = f"the last rule must always answer (when: {ALWAYS!r}), or some requests have no rule"
        errors.append(DocumentError(f"{place}.rules", message))
    return errors


def _validate_condition(place: str, rule: Rule) -> list[DocumentError]:
    try:
        program = _program(rule.when)
    except ValueError as error:
        return [DocumentError(place, " ".join(str(error).split()))]
    if program is None:
        return []
    unknown = sorted(set(program.variables()) - FACT_NAMES)
    if unknown:
        known = ", ".join(sorted(FACT_NAMES))
        return [DocumentError(place, f"unknown name {name!r}; known: {known}") for name in unknown]
    if len(program.functions()) > MAXIMUM_CALLS:
        return [DocumentError(place, f"too costly: more than {MAXIMUM_CALLS} distinct calls")]
    return _validate_by_samples(place, program)


def _validate_by_samples(place: str, program: cel.Program) -> list[DocumentError]:
    for facts in SAMPLE_FACTS:
        try:
            result = program.execute(facts.to_cel())
        except (RuntimeError, TypeError, ValueError) as error:
            return [DocumentError(place, f"fails when evaluated: {' '.join(str(error).split())}")]
        if not isinstance(result, bool):
            return [DocumentError(place, f"gives {type(result).__name__}, not true or false")]
    return []


def _sample_facts() -> tuple[Facts, ...]:
    booleans = (False, True)
    stages = tuple(Stage)
    numbers = (0.0, 0.5, 1.0, 1000.0)
    return tuple(
        Facts(keyed=keyed, repeatable=repeatable, stage=stage, elapsed_ms=number, covered=min(number, 1.0))
        for keyed, repeatable, stage, number in itertools.product(booleans, booleans, stages, numbers)
    )


SAMPLE_FACTS = _sample_facts()
