#include <jansson.h>

#include "base/clock.h"
#include "config/component.h"
#include "config/document.h"

/* Returns the last max changes of a value, oldest first. */
static json_t *changes_json(const struct value_state *v, unsigned max)
{
	unsigned first = v->change_count > max ? v->change_count - max : 0;
	json_t *list = json_array();
	unsigned i;

	for (i = first; i < v->change_count; i++) {
		const struct value_change *ch = &v->changes[i % CHANGES_MAX];

		json_array_append_new(
			list, json_pack("{s:I,s:I}", "revision",
					(json_int_t)ch->version, "at_ms",
					(json_int_t)(ch->at / 1000)));
	}
	return list;
}

static json_t *faults_json(const struct fault_list *l)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < l->count && i < STATUS_FAULTS_MAX; i++)
		json_array_append_new(list, json_string(l->lines[i]));
	return list;
}

static void value_json(json_t *o, struct config *c, int value)
{
	const struct spread_value *s = &c->spread.values[value];
	struct value_state *v = &c->values[value];
	char hex[DIGEST_HEX_SIZE];

	digest_hex(&s->digest, hex);
	json_object_set_new(o, "revision",
			    json_integer((json_int_t)s->version));
	json_object_set_new(o, "digest", json_string(s->version ? hex : ""));
	json_object_set_new(o, "source", json_string(v->source));
	json_object_set_new(
		o, "bytes",
		json_integer((json_int_t)texts_current_size(&v->texts)));
	json_object_set_new(o, "older_seen", json_integer(v->old_count));
	json_object_set_new(o, "invalid_seen", json_integer(v->invalid_count));
	json_object_set_new(o, "platform_age_ms",
			    json_integer(s->platform_last_contact
						 ? (clock_now() -
						    s->platform_last_contact) /
							   1000
						 : -1));
	json_object_set_new(o, "changes", changes_json(v, STATUS_CHANGES_MAX));
}

/* Returns the "config" section of the status. */
json_t *config_status(void *arg)
{
	struct config *c = arg;
	json_t *o = json_object(), *list = json_object();

	pthread_mutex_lock(&c->mutex);
	value_json(o, c, SPREAD_DOCUMENT);
	value_json(list, c, SPREAD_INSTANCES);
	json_object_set_new(o, "instance_list", list);
	if (c->faults.count) {
		json_object_set_new(
			o, "refused_revision",
			json_integer((json_int_t)c->rejected_revision));
		json_object_set_new(
			o, "parts_left_out",
			json_integer((json_int_t)c->left_out_count));
		json_object_set_new(o, "faults", faults_json(&c->faults));
	}
	json_object_set_new(o, "watch_rank",
			    json_integer(c->spread.overlay.watch_rank));
	json_object_set_new(
		o, "watches",
		json_boolean(c->spread.overlay.watch_rank < OVERLAY_WATCHERS));
	json_object_set_new(o, "members", json_integer(c->spread.member_count));
	json_object_set_new(o, "start_peers",
			    json_integer(c->spread.start_count));
	json_object_set_new(o, "start_replies",
			    json_integer(c->spread.start_replies));
	pthread_mutex_unlock(&c->mutex);
	return o;
}

/* Serves GET /config/changes: the last CHANGES_MAX applied documents. */
void config_serve_changes(struct http_call *h, void *arg)
{
	struct config *c = arg;
	json_t *list;

	pthread_mutex_lock(&c->mutex);
	list = changes_json(&c->values[SPREAD_DOCUMENT], CHANGES_MAX);
	pthread_mutex_unlock(&c->mutex);
	http_call_reply_json(h, 200, list);
}
