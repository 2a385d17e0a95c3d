package damsonseam.sip;

/**
 * One message, request or answer. What every message must have (RFC 3261 8.1.1, 8.2.6) has been checked for
 * form by the decoder, not for sense.
 *
 * @param method of a request, else the empty string
 * @param requestUri the address in a request's first line, else the empty string
 * @param status of an answer, 100 to 699; 0 marks a request
 * @param reasonPhrase the phrase of an answer's first line
 * @param headers all but Content-Length, which the encoder writes
 * @param body the octets after the headers, never null
 */
public record SipMessage(
        String method, String requestUri, int status, String reasonPhrase, SipHeaders headers, byte[] body) {
    /** A set-up. */
    public static final String INVITE = "INVITE";
    /** The set-up's final answer was heard. */
    public static final String ACK = "ACK";
    /** A set-up is given up. */
    public static final String CANCEL = "CANCEL";
    /** Release of a call that stands. */
    public static final String BYE = "BYE";
    /** A test. */
    public static final String OPTIONS = "OPTIONS";
    /** News of a subscription; here the state of a group of lines. */
    public static final String NOTIFY = "NOTIFY";
    /** The call stands. */
    public static final int OK = 200;

    private static final byte[] EMPTY_BODY = {};
    private static final int MIN_FINAL_STATUS = 200;

    /** A request without a body. */
    public static SipMessage request(String method, String requestUri, String callId, long sequenceNumber) {
        return request(method, requestUri, callId, sequenceNumber, EMPTY_BODY);
    }

    /** A request with its body. */
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

    /** An answer without a body. */
    public static SipMessage response(int status, String reasonPhrase, String callId, String cseq) {
        return response(status, reasonPhrase, callId, cseq, EMPTY_BODY);
    }

    /** An answer to the request with this id and CSeq; either may be null where the request had none. */
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

    /** Adds a header; returns this. */
    public SipMessage addHeader(String name, String value) {
        headers.add(name, value);
        return this;
    }

    /** Whether this is a request. */
    public boolean isRequest() {
        return status == 0;
    }

    /** Whether this is an answer that ends its transaction. */
    public boolean isFinalResponse() {
        return status >= MIN_FINAL_STATUS;
    }

    /** The id of the call, or null. */
    public String callId() {
        return headers.get(SipHeaders.CALL_ID);
    }

    /** The CSeq header, or null. */
    public String cseq() {
        return headers.get(SipHeaders.CSEQ);
    }

    /** The method in CSeq, or the empty string. */
    public String cseqMethod() {
        String cseq = cseq();
        int space = cseq == null ? -1 : cseq.lastIndexOf(' ');
        return space < 0 ? "" : cseq.substring(space + 1);
    }

    /** The number in CSeq, or -1 where it has none that can be read. */
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
