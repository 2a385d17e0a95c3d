package damsonseam.sip;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;

/** Encodes SIP messages. Content-Length always states the actual size of the body. */
public final class SipEncoder {
    private static final int INITIAL_CAPACITY_BYTES = 512;

    private SipEncoder() {}

    /** Returns the bytes of a message in a buffer that the caller releases. */
    public static ByteBuf encode(ByteBufAllocator allocator, SipMessage message) {
        ByteBuf out = allocator.buffer(INITIAL_CAPACITY_BYTES + message.body().length);
        StringBuilder text = new StringBuilder(INITIAL_CAPACITY_BYTES);
        if (message.isRequest()) {
            text.append(message.method())
                    .append(' ')
                    .append(message.requestUri())
                    .append(" SIP/2.0\r\n");
        } else {
            text.append("SIP/2.0 ")
                    .append(message.status())
                    .append(' ')
                    .append(message.reasonPhrase())
                    .append("\r\n");
        }
        SipHeaders headers = message.headers();
        for (int i = 0; i < headers.size(); i++) {
            if (!headers.name(i).equalsIgnoreCase(SipHeaders.CONTENT_LENGTH)) {
                text.append(headers.name(i))
                        .append(": ")
                        .append(headers.value(i))
                        .append("\r\n");
            }
        }
        text.append(SipHeaders.CONTENT_LENGTH)
                .append(": ")
                .append(message.body().length)
                .append("\r\n\r\n");
        ByteBufUtil.writeUtf8(out, text);
        out.writeBytes(message.body());
        return out;
    }
}
