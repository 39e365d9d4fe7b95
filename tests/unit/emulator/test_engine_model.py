import random
import unittest

from returns.result import Failure

from yokeline.emulator.engine.calls import CallEnded, CallProgress, EngineCall, FinishReason
from yokeline.emulator.engine.feed import CacheEventKind, CacheFeed
from yokeline.emulator.engine.model import EngineModel
from yokeline.emulator.engine.parameters import EngineParameters
from yokeline.emulator.engine.prompt import (
    FunctionCall,
    PromptMessage,
    ToolCall,
    build_prompt,
    prompt_of_words,
)
from yokeline.emulator.engine.script import Answer, answer_to
from yokeline.emulator.engine.timing import Stretch
from yokeline.errors import ErrorKind


def words(name: str, count: int) -> list[str]:
    return [f"{name}{number}" for number in range(count)]


def call(
    name: str,
    prompt: list[str],
    answer_tokens: int = 10,
    *,
    key: str = "",
    salt: str = "tenant",
    priority: int = 0,
    streamed: bool = False,
) -> EngineCall:
    return EngineCall(
        call_id=name,
        cache_key=key or name,
        model="model-a",
        prompt=prompt_of_words(salt, prompt, 16),
        answer=Answer(words=tuple(words(f"answer-{name}-", answer_tokens))),
        priority=priority,
        streamed=streamed,
    )


def engine(**changes: object) -> EngineModel:
    parameters = EngineParameters(feed_gap_probability=0.0, **changes)  # type: ignore[arg-type]
    return EngineModel(parameters, random.Random(1))


def ends(model: EngineModel, until: float = 1e6) -> dict[str, CallEnded]:
    found = {}
    while (time := model.next_time()) is not None and time <= until:
        for output in model.advance(time):
            if isinstance(output, CallEnded):
                found[output.call_id] = output
    return found


class BatchTiming(unittest.TestCase):
    def test_a_lone_call_takes_prefill_and_one_step_a_token(self) -> None:
        model = engine(
            step_seconds=0.01,
            sequence_seconds=0.001,
            context_token_seconds=1e-6,
            prefill_tokens_per_second=10_000.0,
            step_tokens=100,
        )
        model.submit(call("a", words("p", 250), 5), 7.0)
        end = ends(model)["a"]
        prefill = 3 * 0.01 + 250 / 10_000
        decode = sum(0.01 + 0.001 + 1e-6 * (250 + token) for token in range(1, 5))
        self.assertAlmostEqual(end.at, 7.0 + prefill + decode, places=9)
        self.assertEqual(end.usage.completion_tokens, 5)
        self.assertEqual(model.books.totals.prefill_tokens, 250)

    def test_times_do_not_depend_on_how_often_anyone_looks(self) -> None:
        source = random.Random(5)
        arrivals = sorted(source.uniform(0, 3) for _ in range(12))
        looks = [[], [0.0137 * step for step in range(2000)]]
        seen: list[dict[str, float]] = []
        for times in looks:
            model = engine(slots=3)
            found = {}
            plan = [(time, -1) for time in times]
            plan += [(time, number) for number, time in enumerate(arrivals)]
            for time, number in [*sorted(plan), (1e6, -1)]:
                if number >= 0:
                    model.submit(call(str(number), words(f"p{number}", 60), 40), time)
                for output in model.advance(time):
                    if isinstance(output, CallEnded):
                        found[output.call_id] = output.at
            seen.append(found)
        self.assertEqual(len(seen[0]), 12)
        self.assertEqual(seen[0], seen[1])

    def test_a_stretch_is_cut_at_the_step_that_runs(self) -> None:
        for growth in (0.0, 1e-4):
            for now in (0.0, 0.01, 0.3333, 1.0, 50.0):
                stretch = Stretch(0.0, 500, 0.01, growth)
                stretch.cut(now)
                self.assertTrue(stretch.end >= now or stretch.steps == 500)
                self.assertTrue(stretch.steps == 1 or stretch.end_of(stretch.steps - 1) < now)

    def test_a_call_joins_the_batch_after_the_step_that_runs(self) -> None:
        model = engine()
        model.submit(call("long", words("l", 20), 2000), 0.0)
        model.submit(call("short", words("s", 20), 2), 5.0)
        found = ends(model)
        self.assertLess(found["short"].at, 5.1)
        self.assertGreater(found["long"].at, 20.0)

    def test_steps_grow_with_the_batch(self) -> None:
        def seconds(count: int) -> float:
            model = engine(sequence_seconds=0.002)
            for number in range(count):
                model.submit(call(str(number), words(f"p{number}", 20), 100), 0.0)
            return max(end.at for end in ends(model).values())

        self.assertGreater(seconds(16), 1.5 * seconds(1))

    def test_higher_priority_leaves_the_queue_first(self) -> None:
        model = engine(slots=1)
        model.submit(call("running", words("r", 20), 50), 0.0)
        model.submit(call("low", words("l", 20)), 0.01)
        model.submit(call("high", words("h", 20), priority=5), 0.02)
        self.assertEqual(list(ends(model)), ["running", "high", "low"])

    def test_refusals_are_typed_and_run_nothing(self) -> None:
        model = engine(slots=1, queue_limit=1, cache_tokens=1600)
        model.submit(call("a", words("a", 20), 50), 0.0)
        model.submit(call("b", words("b", 20)), 0.0)
        full = model.submit(call("c", words("c", 20)), 0.0)
        long = model.submit(call("d", words("d", 2000)), 0.0)
        model.draining = True
        leaving = model.submit(call("e", words("e", 20)), 0.0)
        kinds = [result.failure().kind for result in (full, long, leaving)]
        self.assertEqual(
            kinds, [ErrorKind.LIMIT_EXCEEDED, ErrorKind.BAD_REQUEST, ErrorKind.UNAVAILABLE]
        )
        self.assertEqual(list(ends(model)), ["a", "b"])


class Cache(unittest.TestCase):
    def test_a_next_turn_finds_prompt_and_answer_and_another_tenant_nothing(self) -> None:
        messages = (PromptMessage(role="user", content=" ".join(words("q", 100))),)
        first_prompt = build_prompt("tenant", messages, 16)
        answer = answer_to(messages, first_prompt, 64)
        later = (
            *messages,
            PromptMessage(role="assistant", content=" ".join(answer.words)),
            PromptMessage(role="user", content="and then"),
        )
        model = engine()
        for name, salt, conversation in (
            ("first", "tenant", messages),
            ("second", "tenant", later),
            ("foreign", "other", later),
        ):
            prompt = build_prompt(salt, conversation, 16)
            model.submit(
                EngineCall(
                    call_id=name,
                    cache_key="run",
                    model="model-a",
                    prompt=prompt,
                    answer=answer_to(conversation, prompt, 64),
                ),
                model.now,
            )
            end = ends(model)[name]
            if name == "second":
                # 102 prompt tokens and 19 of 20 answer tokens are there: 7 blocks of 16.
                self.assertEqual(end.usage.cached_tokens, 112)
            else:
                self.assertEqual(end.usage.cached_tokens, 0)

    def test_least_recently_used_context_is_evicted_and_its_rebuild_counted(self) -> None:
        model = engine(cache_tokens=1600)
        cached = []
        for name in ("a", "b", "c", "a2", "c2"):
            model.submit(call(name, words(name[0], 640), 2, key=name[0]), model.now)
            cached.append(ends(model)[name].usage.cached_tokens)
        # 100 blocks, 41 a call, of which 40 stay: "c" takes 21 from the end of "a", "a2" 21 and
        # "c2" one from that of "b".
        self.assertEqual(cached, [0, 0, 0, 19 * 16, 39 * 16])
        self.assertEqual(model.books.totals.recomputed_tokens, (39 - 19) * 16)
        tokens = {entry.cache_key: entry.tokens for entry in model.entries(model.now)}
        self.assertEqual(tokens, {"a": 640, "b": 18 * 16, "c": 640})

    def test_a_hold_survives_pressure_until_its_time_limit(self) -> None:
        model = engine(cache_tokens=1600)
        model.submit(call("a", words("a", 640), 2, key="a"), 0.0)
        ends(model)
        self.assertEqual(model.hold("a", "other", 30.0, 1.0), 0)
        self.assertEqual(model.hold("a", "tenant", 30.0, 1.0), 640)
        for name in ("b", "c"):
            model.submit(call(name, words(name, 640), 2), 2.0)
        ends(model, until=20.0)
        held = {e.cache_key: e.held_seconds for e in model.entries(21.0)}
        self.assertAlmostEqual(held["a"] or 0.0, 10.0)
        model.advance(40.0)
        self.assertAlmostEqual(model.books.totals.held_token_seconds, 640 * 30.0)
        self.assertAlmostEqual(model.books.totals.wasted_hold_token_seconds, 640 * 30.0)
        for name in ("d", "e", "f"):
            model.submit(call(name, words(name, 640), 2), 41.0)
        ends(model)
        self.assertNotIn("a", {e.cache_key for e in model.entries(model.now)})

    def test_a_call_that_holds_keep_out_of_memory_starts_at_the_release(self) -> None:
        model = engine(cache_tokens=1600, hold_fraction=1.0)
        model.submit(call("a", words("a", 800), 2), 0.0)
        ends(model)
        model.hold("a", "tenant", 60.0, 1.0)
        model.submit(call("b", words("b", 1200), 2), 2.0)
        self.assertEqual(ends(model, until=30.0), {})
        self.assertTrue(model.release("a", 30.0))
        self.assertGreater(ends(model)["b"].at, 30.0)

    def test_memory_is_free_again_after_random_use(self) -> None:
        source = random.Random(3)
        model = engine(cache_tokens=4096, slots=6)
        now = 0.0
        for number in range(300):
            now += source.expovariate(4.0)
            key = str(source.randrange(12))
            prompt = words(f"k{key}.", source.randrange(20, 600))
            model.submit(
                call(
                    str(number), prompt, source.randrange(1, 60), key=key, streamed=number % 3 == 0
                ),
                now,
            )
            action = source.random()
            if action < 0.2:
                model.hold(key, "tenant", source.uniform(0.1, 5.0), now)
            elif action < 0.3:
                model.drop(key, now)
            elif action < 0.5:
                model.cancel(str(source.randrange(number + 1)), now)
        ends(model)
        self.assertFalse(model.busy)
        self.assertEqual(len(model.books.calls), 300)
        pool = model._pool
        self.assertEqual(pool.reserved, 0)
        self.assertLessEqual(len(pool), pool.capacity)
        self.assertEqual(pool.available, pool.capacity)
        for key in range(12):
            model.drop(str(key), model.now)
        self.assertEqual(pool.used, 0)

    def test_an_import_makes_context_usable_after_the_transfer_time(self) -> None:
        source, target = engine(), engine(token_bytes=1000, transfer_bytes_per_second=64_000.0)
        source.submit(call("a", words("a", 640), 2, key="run"), 0.0)
        ends(source)
        export = source.export("run", 2.0)
        assert export is not None
        target.import_blocks(export, 3.0)
        self.assertEqual(target.advance(12.9), [])
        (ended,) = target.advance(13.1)
        self.assertEqual(ended.tokens, 640)  # type: ignore[union-attr]
        target.submit(call("a2", words("a", 650), 2, key="run"), 14.0)
        self.assertEqual(ends(target)["a2"].usage.cached_tokens, 640)
        again = target.import_blocks(export, 20.0)
        (ended,) = target.advance(40.0)
        self.assertEqual((ended.import_id, ended.tokens), (again, 640))  # type: ignore[union-attr]
        self.assertEqual(target.books.totals.imported_tokens, 640)

    def test_the_feed_is_late_and_says_where_it_has_gaps(self) -> None:
        parameters = EngineParameters(
            feed_lag_min_seconds=1.0, feed_lag_max_seconds=1.0, feed_gap_probability=0.5
        )
        feed = CacheFeed(parameters, random.Random(2))
        for second in range(20):
            feed.add(CacheEventKind.STORED, "run", 16 * second, float(second))
        page = feed.read(0, 10.5)
        self.assertEqual(page.sequence, 10)
        self.assertTrue(page.gap)
        self.assertLess(len(page.events), 10)
        self.assertFalse(feed.read(10, 10.5).gap)


class Calls(unittest.TestCase):
    def test_a_streamed_call_reports_progress_and_all_its_tokens(self) -> None:
        model = engine(steps_per_event=4)
        model.submit(call("a", words("a", 20), 30, streamed=True), 0.0)
        tokens = []
        while (time := model.next_time()) is not None:
            tokens += [o.tokens for o in model.advance(time) if isinstance(o, CallProgress)]
        self.assertEqual(tokens[0], 1)
        self.assertEqual(tokens, sorted(tokens))
        self.assertGreater(len(tokens), 6)
        generation = model.generation("a", model.now)
        assert generation is not None
        self.assertEqual(len(generation.text().split()), 30)

    def test_a_cancelled_call_ends_soon_and_its_context_stays_cached(self) -> None:
        model = engine(slots=1)
        model.submit(call("a", words("a", 160), 1000, key="run"), 0.0)
        model.submit(call("waiting", words("w", 20)), 0.1)
        model.advance(0.5)
        self.assertTrue(model.cancel("a", 0.5))
        self.assertTrue(model.cancel("waiting", 0.5))
        found = ends(model)
        self.assertIs(found["a"].reason, FinishReason.CANCELLED)
        self.assertLess(found["a"].at, 0.6)
        self.assertLess(found["a"].usage.completion_tokens, 100)
        self.assertEqual(found["waiting"].usage.completion_tokens, 0)
        model.submit(call("a2", words("a", 170), 2, key="run"), 1.0)
        self.assertEqual(ends(model)["a2"].usage.cached_tokens, 160)

    def test_a_second_submission_attaches_and_runs_nothing_more(self) -> None:
        model = engine()
        self.assertFalse(model.submit(call("a", words("a", 20), 50), 0.0).unwrap().attached)
        self.assertTrue(model.submit(call("a", words("a", 20), 50), 0.2).unwrap().attached)
        ends(model)
        self.assertEqual([c.call_id for c in model.books.calls], ["a"])
        self.assertEqual(model.books.totals.completion_tokens, 50)

    def test_an_unloaded_model_is_refused(self) -> None:
        model = engine(models=("model-b",))
        result = model.submit(call("a", words("a", 20)), 0.0)
        assert isinstance(result, Failure)
        self.assertIsNotNone(result.failure().retry_after)


class Scripts(unittest.TestCase):
    def test_tool_results_select_the_step_and_then_comes_the_answer(self) -> None:
        script = (
            '{"steps":[{"tool":"clock","arguments":{"bib":"7"}},'
            '{"child":"checker","input":"page 2"}],"answer_tokens":8,"text":"all done"}'
        )
        messages: tuple[PromptMessage, ...] = (PromptMessage(role="user", content=script),)
        named = []
        for _ in range(3):
            prompt = build_prompt("", messages, 16)
            answer = answer_to(messages, prompt, 100)
            if answer.tool_call is None:
                break
            function = answer.tool_call.function
            named.append((function.name, function.arguments))
            asked = ToolCall(id="c", function=FunctionCall(function.name, function.arguments))
            messages = (
                *messages,
                PromptMessage(role="assistant", tool_calls=(asked,)),
                PromptMessage(role="tool", content="12:03", tool_call_id="c"),
            )
        self.assertEqual(named, [("clock", '{"bib":"7"}'), ("checker", '{"input":"page 2"}')])
        self.assertEqual(answer.words[:2], ("all", "done"))
        self.assertEqual(len(answer.words), 8)
        self.assertEqual(answer, answer_to(messages, prompt, 100))
        self.assertTrue(answer_to(messages, prompt, 5).cut)
