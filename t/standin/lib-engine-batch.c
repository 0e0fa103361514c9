#include <string.h>
#include <time.h>

#include "t/standin/lib-engine.h"

#define CRASH_MARK "@crash"
#define STEPS_MAX 8
#define MS_PER_S 1000
#define NS_PER_MS 1000000

/* Number of runs by request ID, summed over all engines of the process. */
static struct {
	pthread_mutex_t lock;
	json_t *counts;
} runs = { .lock = PTHREAD_MUTEX_INITIALIZER };

/* Initializes an empty circular list. */
static void call_list_init(struct engine_call *head)
{
	head->next = head;
	head->prev = head;
}

static void call_list_append(struct engine_call *head, struct engine_call *call)
{
	call->next = head;
	call->prev = head->prev;
	call->prev->next = call;
	head->prev = call;
}

static void call_list_remove(struct engine_call *call)
{
	call->next->prev = call->prev;
	call->prev->next = call->next;
	call_list_init(call);
}

/* Initializes an empty batch and empty queues. */
void batch_init(struct engine *engine)
{
	int i;

	call_list_init(&engine->running);
	for (i = 0; i < ENGINE_PRIORITIES; i++)
		call_list_init(&engine->waiting[i]);
}

/* Appends a call to the queue of its priority. */
void batch_add(struct engine_call *call)
{
	call_list_append(&call->engine->waiting[call->priority], call);
	call->engine->waiting_count++;
}

/* Removes a call from the batch or its queue and sets its final state. */
void batch_remove(struct engine_call *call, enum call_state state)
{
	if (call->state == CALL_RUNNING)
		call->engine->running_count--;
	else if (call->state == CALL_WAITING)
		call->engine->waiting_count--;
	else
		return;
	call_list_remove(call);
	call->state = state;
}

/* Cancels every call; the caller is about to drop their connections. */
void batch_clear(struct engine *engine)
{
	int i;

	while (engine->running.next != &engine->running)
		batch_remove(engine->running.next, CALL_CANCELLED);
	for (i = 0; i < ENGINE_PRIORITIES; i++)
		while (engine->waiting[i].next != &engine->waiting[i])
			batch_remove(engine->waiting[i].next, CALL_CANCELLED);
}

static void count_run(const char *id)
{
	json_int_t n;

	pthread_mutex_lock(&runs.lock);
	if (!runs.counts)
		runs.counts = json_object();
	n = json_integer_value(json_object_get(runs.counts, id));
	json_object_set_new(runs.counts, id, json_integer(n + 1));
	pthread_mutex_unlock(&runs.lock);
}

/* Returns a copy of the number of runs by request ID. */
json_t *batch_runs(void)
{
	json_t *copy;

	pthread_mutex_lock(&runs.lock);
	copy = runs.counts ? json_copy(runs.counts) : json_object();
	pthread_mutex_unlock(&runs.lock);
	return copy;
}

/*
 * Moves a waiting call into the batch.  Returns -1 if its prompt is to crash
 * the engine.
 */
static int call_start(struct engine_call *call, int64_t now_ms)
{
	struct engine *engine = call->engine;

	call_list_remove(call);
	call_list_append(&engine->running, call);
	engine->waiting_count--;
	engine->running_count++;
	call->state = CALL_RUNNING;
	count_run(call->id);
	call->prefill_end_ms = now_ms + cache_lookup(engine, call, now_ms);
	return strstr(call->prompt, CRASH_MARK) ? -1 : 0;
}

/*
 * Fills free slots from the queues, lowest priority number first.  Returns -1
 * if a call is to crash the engine.
 */
static int batch_admit(struct engine *engine, int64_t now_ms)
{
	int i;

	for (i = 0; i < ENGINE_PRIORITIES; i++)
		while (engine->running_count < engine_settings.slots &&
		       engine->waiting[i].next != &engine->waiting[i])
			if (call_start(engine->waiting[i].next, now_ms))
				return -1;
	return 0;
}

/* Generates up to n tokens of a running call, or all if n is 0. */
static void call_advance(struct engine_call *call, int n, int64_t now_ms)
{
	if (call->prefill_end_ms > now_ms)
		return;
	if (!n || n > call->end - call->generated)
		n = call->end - call->generated;
	call->generated += n;
	engine_count(tokens, n);
	if (call->generated == call->end)
		batch_remove(call, CALL_DONE);
	if (call->is_streamed || call->state == CALL_DONE)
		web_resume(call->req);
}

/* Returns the number of decoding steps that are due, at most STEPS_MAX. */
static int steps_due(struct engine *engine, int step_ms, int64_t now_ms)
{
	int64_t n;

	if (!engine->step_ms || engine->step_ms > now_ms + step_ms)
		engine->step_ms = now_ms;
	if (engine->step_ms > now_ms)
		return 0;
	n = 1 + (now_ms - engine->step_ms) / step_ms;
	engine->step_ms += n * step_ms;
	return n > STEPS_MAX ? STEPS_MAX : (int)n;
}

/* Runs the decoding steps that are due and admits waiting calls. */
void batch_step(struct engine *engine, int64_t now_ms)
{
	int step_ms = engine_settings.token_ms;
	struct engine_call *call;
	struct engine_call *next;
	int n = 0;

	if (engine->fault == ENGINE_SLOW)
		step_ms += engine->fault_ms;
	if (!engine->running_count && !engine->waiting_count) {
		engine->step_ms = 0;
		return;
	}
	if (step_ms) {
		n = steps_due(engine, step_ms, now_ms);
		if (!n)
			return;
	}
	for (call = engine->running.next; call != &engine->running;
	     call = next) {
		next = call->next;
		call_advance(call, n, now_ms);
	}
	if (batch_admit(engine, now_ms)) {
		engine_crash(engine, now_ms);
		return;
	}
	if (step_ms)
		return;
	for (call = engine->running.next; call != &engine->running;
	     call = next) {
		next = call->next;
		call_advance(call, 0, now_ms);
	}
}

/* Returns the call with a request ID in a circular list, or NULL. */
static struct engine_call *call_list_find(struct engine_call *head,
					  const char *id)
{
	struct engine_call *call;

	for (call = head->next; call != head; call = call->next)
		if (!strcmp(call->id, id))
			return call;
	return NULL;
}

/* Returns the running or waiting call with a request ID, or NULL. */
struct engine_call *batch_find(struct engine *engine, const char *id)
{
	struct engine_call *call = call_list_find(&engine->running, id);
	int i;

	for (i = 0; !call && i < ENGINE_PRIORITIES; i++)
		call = call_list_find(&engine->waiting[i], id);
	return call;
}

/* Samples the load for delayed reports, every ENGINE_LOAD_SAMPLE_MS. */
void batch_sample(struct engine *engine, int64_t now_ms)
{
	struct load_sample *sample;

	if (engine->sample_count) {
		sample = &engine->samples[(engine->sample_count - 1) %
					  ENGINE_LOAD_SAMPLES];
		if (now_ms - sample->at_ms < ENGINE_LOAD_SAMPLE_MS)
			return;
	}
	sample = &engine->samples[engine->sample_count++ % ENGINE_LOAD_SAMPLES];
	sample->at_ms = now_ms;
	sample->running = engine->running_count;
	sample->waiting = engine->waiting_count;
}

/* Returns the load at a time in the past, zero if no sample is that old. */
static struct load_sample load_before(struct engine *engine, int64_t at_ms)
{
	struct load_sample now = { .at_ms = at_ms,
				   .running = engine->running_count,
				   .waiting = engine->waiting_count };
	struct load_sample *sample;
	long oldest = engine->sample_count - ENGINE_LOAD_SAMPLES;
	long i;

	if (!engine_settings.load_lag_ms)
		return now;
	for (i = engine->sample_count - 1; i >= 0 && i > oldest; i--) {
		sample = &engine->samples[i % ENGINE_LOAD_SAMPLES];
		if (sample->at_ms <= at_ms)
			return *sample;
	}
	now.running = 0;
	now.waiting = 0;
	return now;
}

/* Serves GET /load; at_ms is the time of the sample in Unix milliseconds. */
enum web_result load_handle(struct engine *engine, struct web_request *req)
{
	int64_t now_ms = web_now_ms();
	struct load_sample sample;
	struct timespec ts;
	json_int_t unix_ms;

	pthread_mutex_lock(&engine->lock);
	sample = load_before(engine, now_ms - engine_settings.load_lag_ms);
	pthread_mutex_unlock(&engine->lock);
	clock_gettime(CLOCK_REALTIME, &ts);
	unix_ms = (json_int_t)ts.tv_sec * MS_PER_S + ts.tv_nsec / NS_PER_MS;
	return web_reply_json(req, MHD_HTTP_OK,
			      json_pack("{s:I,s:i,s:i,s:i,s:i}", "at_ms",
					unix_ms - (now_ms - sample.at_ms),
					"running", sample.running, "waiting",
					sample.waiting, "slots",
					engine_settings.slots, "token_ms",
					engine_settings.token_ms));
}
