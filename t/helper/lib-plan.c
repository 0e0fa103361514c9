#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/helper/lib-plan.h"

#define CRASH_MARK "@crash"
#define AMOUNT_MAX 100000
#define PROMPT_TAIL 64

/*
 * Returns a prompt with a prefix that many calls share and a unique end, so
 * that its tokens are unique, too.
 */
static char *create_prompt(const struct plan_settings *set,
			   struct random *random, const char *id, bool crash)
{
	uint32_t group = random_below(random, (uint32_t)set->prompts);
	size_t head = (size_t)set->prompt_bytes;
	char *prompt = malloc(head + PROMPT_TAIL + PLAN_ID_LEN);
	size_t len;

	if (!prompt)
		abort();
	len = (size_t)snprintf(prompt, PROMPT_TAIL, "prompt %u ", group);
	for (; len < head; len++)
		prompt[len] = (char)('a' + (len + group) % 26);
	snprintf(prompt + len, PROMPT_TAIL + PLAN_ID_LEN, "%s %s",
		 crash ? CRASH_MARK : "", id);
	return prompt;
}

/* Returns the body of a model call. */
static char *create_model_body(const struct plan *plan,
			       const struct plan_settings *set)
{
	json_t *obj = json_pack("{s:s,s:s,s:i,s:b}", "model", set->model,
				"prompt", plan->prompt, "max_tokens",
				set->tokens, "stream", plan->is_stream);
	char *body;

	if (set->priority >= 0)
		json_object_set_new(obj, "priority",
				    json_integer(set->priority));
	if (*plan->session)
		json_object_set_new(obj, "session", json_string(plan->session));
	body = json_dumps(obj, JSON_COMPACT);
	json_decref(obj);
	return body;
}

/* Draws the attributes of a plain call. */
static void draw_plain_call(struct plan *plan, const struct plan_settings *set,
			    struct random *random, bool crash)
{
	bool keyed = random_unit(random) < set->key_share;

	plan->wants_ticket = random_unit(random) < set->ticket_share;
	plan->is_duplicated = random_unit(random) < set->double_share &&
			      (keyed || plan->wants_ticket);
	if (keyed)
		snprintf(plan->key, sizeof(plan->key), "k-%.*s",
			 PLAN_ID_LEN - 3, plan->id);
	plan->echo = json_pack("{s:s,s:i}", "reference", plan->id, "amount",
			       (int)random_below(random, AMOUNT_MAX));
	if (crash)
		json_object_set_new(plan->echo, "note",
				    json_string(CRASH_MARK));
	plan->body = json_dumps(plan->echo, JSON_COMPACT);
}

/* Draws the call with a given number. */
void plan_draw(struct plan *plan, const struct plan_settings *set,
	       struct random *random, long number)
{
	bool crash = random_unit(random) < set->crash_share;

	memset(plan, 0, sizeof(*plan));
	snprintf(plan->id, sizeof(plan->id), "%s-%ld", set->name, number);
	if (set->account_count)
		plan->account =
			(int)random_below(random, (uint32_t)set->account_count);
	plan->is_plain = random_unit(random) < set->plain_share;
	if (plan->is_plain) {
		draw_plain_call(plan, set, random, crash);
		return;
	}
	plan->is_stream = random_unit(random) < set->stream_share;
	if (set->sessions)
		snprintf(plan->session, sizeof(plan->session), "s%u",
			 random_below(random, (uint32_t)set->sessions));
	plan->prompt = create_prompt(set, random, plan->id, crash);
	plan->body = create_model_body(plan, set);
}

/* Frees the plan's members. */
void plan_release(struct plan *plan)
{
	free(plan->prompt);
	free(plan->body);
	json_decref(plan->echo);
}

/* Splits "name=token" of a plan's account; both empty without accounts. */
void plan_account(const struct plan_settings *set, const struct plan *plan,
		  char *name, size_t size, const char **token)
{
	const char *text = "";
	const char *split;

	if (set->account_count)
		text = set->accounts[plan->account];
	split = strchr(text, '=');
	*token = split ? split + 1 : text;
	snprintf(name, size, "%.*s",
		 (int)(split ? split - text : (ptrdiff_t)strlen(text)), text);
}
