package loadbalancer.proxy.frontend;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.regex.Pattern;

/** Reads header fields that may occur once at most. */
final class HeaderValues {

  /** Identifiers and keys are forwarded as they are, so only visible ASCII is accepted. */
  private static final Pattern TOKEN = Pattern.compile("[!-~]{1,128}");

  /** Stricter than {@link Double#parseDouble}, which accepts NaN, hexadecimals and suffixes. */
  private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,12}(\\.[0-9]{0,12})?");

  private HeaderValues() {}

  /**
   * Returns the only value of a header field, or null if it is absent.
   *
   * @throws BadRequestException if the field is repeated: an upstream might use the other value
   */
  static String single(HttpHeaders headers, CharSequence name) throws BadRequestException {
    List<String> values = headers.getAll(name);
    if (values.size() > 1) {
      throw new BadRequestException(name + " is repeated");
    }
    return values.isEmpty() ? null : values.get(0);
  }

  /**
   * Returns an identifier or a key, or null if it is absent.
   *
   * @throws BadRequestException if the field is repeated, empty, too long or not visible ASCII
   */
  static String token(HttpHeaders headers, String name) throws BadRequestException {
    String value = single(headers, name);
    if (value != null && !TOKEN.matcher(value).matches()) {
      throw new BadRequestException(name + " is of no use");
    }
    return value;
  }

  /**
   * Returns a decimal number of at least 0, or NaN if it is absent.
   *
   * @throws BadRequestException if the field is repeated or not such a number
   */
  static double decimal(HttpHeaders headers, String name) throws BadRequestException {
    String value = single(headers, name);
    if (value == null) {
      return Double.NaN;
    }
    if (!DECIMAL.matcher(value).matches()) {
      throw new BadRequestException(name + " is no number of use");
    }
    return Double.parseDouble(value);
  }
}
