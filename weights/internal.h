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
 * State of the weights component.  The lock of the table of models guards
 * all of it but the uploads and the cache, which have mutexes of their own
 * that are taken inside it.  No I/O is done under any of them.
 */

/* As many rows as a table has from the start, so that they never move. */
#define WEIGHTS_MODELS_MAX 16
#define WEIGHTS_URL_SIZE 640

/* One model that the document in force puts on this upstream. */
struct model_row {
	char name[DOCUMENT_NAME_SIZE];
	struct digest want; /* the version: digest of its manifest */
	char want_hex[DIGEST_HEX_SIZE];
	char base[DOCUMENT_NAME_SIZE];
	int priority;
	int first_loaders;
	struct swarm_policy policy;
	int wanted; /* still in the document */
	uint64_t revision;
	uint64_t release; /* the origin's number of the version, 0: none */
	char origin[SETTINGS_URL_SIZE];
	/* Named while the version above was about to be loaded, or "". */
	char next_hex[DIGEST_HEX_SIZE];
	uint64_t next_release;
	apr_time_t next_named_at;

	uint64_t swarm_id;	/* changes when the wanted version does */
	struct swarm *swarm;	/* NULL until the manifest is there */
	struct swarm *former;	/* of the version before, for its chunks */
	struct place_view view; /* rows don't move: see WEIGHTS_MODELS_MAX */
	uint64_t view_signature;
	int manifest_asked; /* a request for it is under way */
	int manifest_tries;
	char *manifest_seen;	/* the origin's last answer, to be confirmed */
	apr_time_t manifest_at; /* next try */
	apr_time_t manifest_began; /* first try */
	int listed; /* the engine's staging was looked at for this version */
	int urgent; /* news for the neighbours */
	apr_time_t whole_at;
	enum activation_state state; /* at the last step */
	struct {
		uint64_t swarm_id;
		int running;
		int good;
		int bad;       /* chunks */
		int pending;   /* reads under way */
		uint32_t next; /* chunk to read next */
		apr_time_t began;
	} verify; /* of what is staged, before an order */
	struct activation activation;
};

struct upload;
struct transfer;

struct weights {
	struct node *node;
	const struct engine_ops *ops;
	struct table models; /* struct model_row */
	uint64_t next_swarm_id;
	double send_rate; /* bytes a second that transfers may use now */
	struct pace receive;
	struct pace cross;
	struct transfer_window window;
	struct yield yield;
	size_t in_flight;	 /* bytes of buffers of transfers */
	struct transfer *parked; /* verified, wait for room in staging */
	int stopping;		 /* no further chunk is parked */
	uint64_t revision;

	struct engine_state engine;	  /* as it said last */
	apr_interval_time_t state_period; /* between questions to it */
	int engine_asked;		  /* /running is under way */
	int staging_asked;		  /* /staging is under way */
	int rereads;			  /* chunks being verified in staging */
	apr_time_t staging_at;		  /* last look */
	int clean;			  /* drop what nobody wants */
	int staging_full;     /* the engine refused a chunk for lack of room */
	apr_time_t engine_at; /* next look */
	apr_time_t engine_seen;
	apr_time_t view_at;
	int view_new; /* a version waits to be placed */
	apr_time_t published_at;

	struct blob_cache cache;
	pthread_mutex_t upload_mutex; /* rank: inside the table of models */
	struct upload *uploads;	      /* waiting */
	int upload_count;
	struct upload *sending; /* of the controller thread only */
	struct pace send;
	apr_time_t sent_at;
};

/* weights.c */
struct model_row *model_by_digest(struct weights *w, const struct digest *d);
int weights_holds(struct weights *w, const struct digest *d,
		  char path[ENGINE_PATH_SIZE], int *fresh);
void weights_spoilt(struct weights *w, const struct digest *d);
void weights_place(const struct model_row *m, uint32_t chunk,
		   struct chunk_place *out);

/* view.c */
void view_refresh(struct weights *w, apr_time_t now);

/* transfer.c: chunks in */
void transfers_begin(struct weights *w, apr_time_t now);
void transfers_unpark(struct weights *w, apr_time_t now);
void transfers_stop(void *arg);

/* manifest-fetch.c */
void manifest_fetch_step(struct weights *w, struct handle h,
			 struct model_row *m, apr_time_t now);
void manifest_serve(struct http_call *c, void *arg);

/* upload.c: chunks out */
void upload_serve(struct http_call *c, void *arg);
void upload_step(void *arg, apr_time_t now);
int upload_busy(void *arg);
void uploads_stop(struct weights *w);

/* exchange.c: messages with neighbours */
int exchange_start(struct weights *w);
void exchange_step(struct weights *w, apr_time_t now);
void hint_make(struct model_row *m, const char *peer, char out[HINT_SIZE],
	       apr_time_t now);
void hint_exchange(struct weights *w, const char *peer, const char *text,
		   char out[HINT_SIZE]);

/* engine.c, staging.c: orders to the engine and its staging memory */
void engine_step(struct weights *w, apr_time_t now);
void engine_load(struct weights *w, struct handle h, struct model_row *m);
void engine_delete_chunk(struct weights *w, const struct digest *d);
void engine_list_staging(struct weights *w);

/* verify.c */
int weights_verified(struct weights *w, struct handle h, struct model_row *m,
		     apr_time_t now);

/* status.c */
json_t *weights_status(void *arg);
void weights_publish(struct weights *w);

#endif
