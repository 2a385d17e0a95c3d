package damsonseam.sip;

/**
 * A SIP request or response. The decoder has checked the mandatory parts (RFC 3261 8.1.1, 8.2.6) for their form, not
 * for their meaning.
 *
 * @param method method of a request, else the empty string
 * @param requestUri Request-URI of a request, else the empty string
 * @param status status code of a response, 100 to 699; 0 marks a request
 * @param reasonPhrase reason phrase of a response, else the empty string
 * @param headers header fields; the encoder replaces Content-Length by the size of the body
 * @param body bytes after the headers, never null
 */
public record SipMessage(
        String method, String requestUri, int status, String reasonPhrase, SipHeaders headers, byte[] body) {
    /** Sets a call up. */
    public static final String INVITE = "INVITE";
    /** Acknowledges the final response to an INVITE. */
    public static final String ACK = "ACK";
    /** Cancels a set-up. */
    public static final String CANCEL = "CANCEL";
    /** Releases an established call. */
    public static final String BYE = "BYE";
    /** Probes the peer. */
    public static final String OPTIONS = "OPTIONS";
    /** Notifies a subscriber; here of the state of a trunk group. */
    public static final String NOTIFY = "NOTIFY";
    /** The status code of success; for an INVITE it means that the call is established. */
    public static final int OK = 200;

    private static final byte[] EMPTY_BODY = {};
    private static final int MIN_FINAL_STATUS = 200;

    /** Returns a request without a body. */
    public static SipMessage request(String method, String requestUri, String callId, long sequenceNumber) {
        return request(method, requestUri, callId, sequenceNumber, EMPTY_BODY);
    }

    /** Returns a request with a body. */
    public static SipMessage request(
            String method, String requestUri, String callId, long sequenceNumber, byte[] body) {
        return new SipMessage(
                method,
                requestUri,
                0,
                "",
                new SipHeaders()
                        .add(SipHeaders.VIA, "SIP/2.0/TCP front")
                        .add(SipHeaders.CALL_ID, callId)
                        .add(SipHeaders.CSEQ, sequenceNumber + " " + method),
                body);
    }

    /** Returns a response without a body. */
    public static SipMessage response(int status, String reasonPhrase, String callId, String cseq) {
        return response(status, reasonPhrase, callId, cseq, EMPTY_BODY);
    }

    /** Returns the response to the request with this Call-ID and CSeq; either is null if the request has none. */
    public static SipMessage response(int status, String reasonPhrase, String callId, String cseq, byte[] body) {
        SipHeaders headers = new SipHeaders().add(SipHeaders.VIA, "SIP/2.0/TCP front");
        if (callId != null) {
            headers.add(SipHeaders.CALL_ID, callId);
        }
        if (cseq != null) {
            headers.add(SipHeaders.CSEQ, cseq);
        }
        return new SipMessage("", "", status, reasonPhrase, headers, body);
    }

    /** Adds a header and returns this. */
    public SipMessage addHeader(String name, String value) {
        headers.add(name, value);
        return this;
    }

    /** Returns whether this is a request. */
    public boolean isRequest() {
        return status == 0;
    }

    /** Returns whether this is a final response, which ends its transaction. */
    public boolean isFinalResponse() {
        return status >= MIN_FINAL_STATUS;
    }

    /** Returns the Call-ID, or null. */
    public String callId() {
        return headers.get(SipHeaders.CALL_ID);
    }

    /** Returns the CSeq header, or null. */
    public String cseq() {
        return headers.get(SipHeaders.CSEQ);
    }

    /** Returns the method in CSeq, or the empty string. */
    public String cseqMethod() {
        String cseq = cseq();
        int space = cseq == null ? -1 : cseq.lastIndexOf(' ');
        return space < 0 ? "" : cseq.substring(space + 1);
    }

    /** Returns the sequence number in CSeq, or -1 if it has none. */
    public long cseqNumber() {
        String cseq = cseq();
        int space = cseq == null ? -1 : cseq.indexOf(' ');
        try {
            return space < 0 ? -1 : Long.parseLong(cseq, 0, space, 10);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
