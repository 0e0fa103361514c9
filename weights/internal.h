#ifndef WEIGHTS_INTERNAL_H
#define WEIGHTS_INTERNAL_H

#include "config/document.h"
#include "net/node.h"
#include "weights/activate.h"
#include "weights/blob.h"
#include "weights/engine-ops.h"
#include "weights/hint.h"
#include "weights/manifest.h"
#include "weights/pace.h"
#include "weights/place.h"
#include "weights/swarm.h"

/*
 * State of the weights component. The lock of the table of models guards all
 * of it except the uploads and the cache. These have mutexes of their own,
 * which are taken while the table lock is held. No I/O is done under any of
 * these locks.
 */

/* Initial number of rows of a table, so that rows never move. */
#define WEIGHTS_MODELS_MAX 16
#define WEIGHTS_URL_SIZE 640

/* One model that the current document assigns to this upstream. */
struct model_row {
	char name[DOCUMENT_NAME_SIZE];
	struct digest version; /* version: digest of the wanted manifest */
	char version_hex[DIGEST_HEX_SIZE];
	char base[DOCUMENT_NAME_SIZE];
	int priority;
	int first_loaders;
	struct swarm_policy policy;
	int is_wanted; /* the current document still names the model */
	uint64_t revision;
	/* number that the origin gives to the version, 0: none */
	uint64_t release;
	char origin[SETTINGS_URL_SIZE];
	/* highest release that was wanted, and may be staged in part */
	uint64_t release_max;

	uint64_t swarm_id;   /* changes when the wanted version changes */
	struct swarm *swarm; /* NULL until the manifest is fetched */
	/* swarm of the previous version, kept for its chunks */
	struct swarm *previous_swarm;
	/* swarm refers to the view; rows do not move (WEIGHTS_MODELS_MAX) */
	struct place_view view;
	uint64_t view_signature;
	int is_manifest_requested; /* a request for the manifest is in flight */
	int manifest_attempts;
	/* last answer of the origin, not confirmed yet */
	char *manifest_unconfirmed;
	apr_time_t manifest_not_before; /* time of the next attempt */
	apr_time_t manifest_started_at; /* time of the first attempt */
	/* the engine's staging was listed for this version */
	int is_staging_listed;
	/* chunk writes in flight, of the wanted version and of earlier ones */
	int writes;
	int superseded_writes;
	/* swarm_id of an order that the engine may still accept, 0: none */
	uint64_t open_order;
	apr_time_t open_order_sent_at;
	int64_t open_order_count; /* orders that the engine had begun then */
	/* a change is to be sent to the neighbours at once */
	int is_exchange_urgent;
	apr_time_t completed_at;
	enum activation_state state; /* state at the last step */
	struct {
		uint64_t swarm_id;
		int is_running;
		int is_valid; /* all chunks matched their digests */
		int corrupt_count;
		int reads_in_flight;
		uint32_t next_chunk; /* next chunk to read */
		apr_time_t started_at;
	} verify; /* verification of the staged chunks before an order */
	struct activation activation;
};

struct upload;
struct transfer;

struct weights {
	struct node *node;
	const struct engine_ops *ops;
	struct table models; /* struct model_row */
	uint64_t next_swarm_id;
	double send_rate_bytes_s; /* rate that transfers may use now */
	struct pace receive;
	struct pace cross;
	struct transfer_window window;
	struct throttle throttle;
	size_t buffer_bytes; /* bytes in the buffers of transfers */
	/* transfers that receive a chunk */
	struct transfer *receiving;
	/* verified chunks that wait for room in staging */
	struct transfer *parked;
	/* set at shutdown: no further chunk is parked */
	int is_stopping;
	uint64_t revision;

	/* state that the engine reported last */
	struct engine_state engine;
	/* interval between queries of the engine's state */
	apr_interval_time_t engine_query_period;
	/* a request of /running is in flight */
	int is_engine_query_in_flight;
	/* a request of /staging is in flight */
	int is_staging_query_in_flight;
	/* number of staged chunks that are being verified */
	int verify_reads_in_flight;
	/* time of the last listing of staging */
	apr_time_t staging_listed_at;
	/* delete staged chunks that no model needs */
	int is_cleanup_due;
	int is_staging_full; /* the engine refused a chunk for lack of room */
	apr_time_t engine_query_at; /* time of the next query of the engine */
	apr_time_t engine_answered_at;
	apr_time_t view_refreshed_at;
	int has_unplaced_version; /* a version has no view yet */
	apr_time_t published_at;

	struct blob_cache cache;
	/* rank: taken inside the lock of models */
	pthread_mutex_t upload_mutex;
	struct upload *uploads; /* uploads that wait to be sent */
	int upload_count;
	struct upload *sending; /* used by the controller thread only */
	struct pace send;
	apr_time_t sent_at;
};

/* weights.c */
struct model_row *model_find_by_digest(struct weights *w,
				       const struct digest *d);
int weights_find_held_chunk(struct weights *w, const struct digest *d,
			    char path[ENGINE_PATH_SIZE], int *is_unsent);
int weights_is_chunk_sendable(struct weights *w, const struct digest *d);
void weights_mark_corrupt(struct weights *w, const struct digest *d);
void weights_locate_chunk(const struct model_row *m, uint32_t chunk,
			  struct chunk_location *out);

/* view.c */
void view_refresh(struct weights *w, apr_time_t now);

/* transfer.c: receives chunks */
void transfers_start(struct weights *w, apr_time_t now);
void transfers_unpark(struct weights *w, apr_time_t now);
void transfers_end_superseded(struct weights *w);
void transfers_stop(void *arg);

/* manifest-fetch.c */
void manifest_fetch_step(struct weights *w, struct handle h,
			 struct model_row *m, apr_time_t now);
void manifest_serve(struct http_call *c, void *arg);

/* upload.c: sends chunks */
void upload_serve(struct http_call *c, void *arg);
void upload_step(void *arg, apr_time_t now);
int upload_count_active(void *arg);
void uploads_stop(struct weights *w);

/* exchange.c: messages between neighbours */
int exchange_start(struct weights *w);
void exchange_step(struct weights *w, apr_time_t now);
void hint_format_for_peer(struct model_row *m, const char *peer,
			  char out[HINT_SIZE], apr_time_t now);
void hint_merge_and_reply(struct weights *w, const char *peer, const char *text,
			  char out[HINT_SIZE]);

/* engine.c, staging.c: orders to the engine and its staging memory */
void engine_step(struct weights *w, apr_time_t now);
void engine_load(struct weights *w, struct handle h, struct model_row *m,
		 apr_time_t now);
void engine_delete_chunk(struct weights *w, const struct digest *d);
void engine_list_staging(struct weights *w);

/* verify.c */
int weights_is_staging_verified(struct weights *w, struct handle h,
				struct model_row *m, apr_time_t now);

/* status.c */
json_t *weights_status(void *arg);
void weights_publish(struct weights *w);

#endif
