/*
 * The only RPC between the system's own processes.  body is the XDR encoding
 * of the type that the message kind defines; mac is the HMAC-SHA-256 under
 * the shared key of the XDR encoding of the envelope with an empty mac.
 */

#ifdef RPC_HDR
%/* Bytes of a body of a reply; follows from the settings. */
%extern unsigned int envelope_reply_max;
#endif

const ENVELOPE_BODY_MAX = 1300000;	/* of a request */
const ENVELOPE_NAME_MAX = 63;
const ENVELOPE_MAC_SIZE = 32;

enum envelope_status {
	ENVELOPE_OK = 0,
	ENVELOPE_BOOT = 1,	/* target_boot is not this process */
	ENVELOPE_REPLAY = 2,	/* the sequence number is a replay */
	ENVELOPE_KIND = 3,	/* unknown message kind */
	ENVELOPE_BODY = 4,	/* the body does not decode */
	ENVELOPE_REFUSED = 5	/* the handler refused */
};

struct envelope_request {
	string sender<ENVELOPE_NAME_MAX>;
	unsigned hyper sender_boot;
	unsigned hyper target_boot;	/* 0: unknown */
	unsigned hyper sequence;
	unsigned int kind;
	opaque body<ENVELOPE_BODY_MAX>;
	opaque mac<ENVELOPE_MAC_SIZE>;
};

struct envelope_reply {
	envelope_status status;
	string instance<ENVELOPE_NAME_MAX>;
	unsigned hyper boot;
	unsigned hyper sequence;	/* of the request */
	opaque body<envelope_reply_max>;
	opaque mac<ENVELOPE_MAC_SIZE>;
};

program LIMPET_PROGRAM {
	version LIMPET_VERSION {
		envelope_reply EXCHANGE(envelope_request) = 1;
	} = 1;
} = 0x20006c66;
