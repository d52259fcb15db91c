package loadbalancer.proxy.frontend;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.regex.Pattern;

/** Reads header fields that a request may contain at most once. */
final class HeaderValues {

  /** Identifiers and keys are forwarded unchanged, so only visible ASCII is accepted. */
  private static final Pattern TOKEN = Pattern.compile("[!-~]{1,128}");

  /**
   * Stricter than {@link Double#parseDouble}, which accepts NaN, hexadecimal and suffixes like d.
   */
  private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,12}(\\.[0-9]{0,12})?");

  private HeaderValues() {}

  /**
   * Returns the only value of a header field, or null if it is absent.
   *
   * @throws BadRequestException ("is repeated") if the field occurs more than once: an upstream
   *     might use another one of the values
   */
  static String single(HttpHeaders headers, CharSequence name) throws BadRequestException {
    List<String> values = headers.getAll(name);
    if (values.size() > 1) {
      throw new BadRequestException(name + " is repeated");
    }
    return values.isEmpty() ? null : values.get(0);
  }

  /**
   * Returns the value of a header field that holds an identifier or a key, or null if it is absent.
   *
   * @throws BadRequestException ("is of no use") if the value is not 1 to 128 characters of visible
   *     ASCII, or if the field is repeated
   */
  static String token(HttpHeaders headers, String name) throws BadRequestException {
    String value = single(headers, name);
    if (value != null && !TOKEN.matcher(value).matches()) {
      throw new BadRequestException(name + " is of no use");
    }
    return value;
  }

  /**
   * Returns the value of a header field that holds a non-negative decimal number, or NaN if it is
   * absent.
   *
   * @throws BadRequestException ("is no number of use") if the value has a sign, an exponent, over
   *     12 digits before or after the point, or anything else but digits and one point, or if the
   *     field is repeated
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
