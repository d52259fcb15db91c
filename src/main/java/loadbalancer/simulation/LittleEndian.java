package loadbalancer.simulation;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteOrder;

/** Reads and writes little-endian values at byte offsets of a byte array. */
final class LittleEndian {

  /** Size of an endpoint ID: an IPv4 address and a port. */
  static final int ENDPOINT_ID_BYTES = Integer.BYTES + Short.BYTES;

  private static final VarHandle SHORT = view(short[].class);
  private static final VarHandle INT = view(int[].class);
  private static final VarHandle LONG = view(long[].class);
  private static final VarHandle FLOAT = view(float[].class);
  private static final VarHandle DOUBLE = view(double[].class);

  private LittleEndian() {}

  private static VarHandle view(Class<?> arrayType) {
    return MethodHandles.byteArrayViewVarHandle(arrayType, ByteOrder.LITTLE_ENDIAN);
  }

  /** Reads an unsigned byte. */
  static int getByte(byte[] bytes, int offset) {
    return bytes[offset] & 0xff;
  }

  /** Reads an unsigned short. */
  static int getShort(byte[] bytes, int offset) {
    return (short) SHORT.get(bytes, offset) & 0xffff;
  }

  static int getInt(byte[] bytes, int offset) {
    return (int) INT.get(bytes, offset);
  }

  static long getUnsignedInt(byte[] bytes, int offset) {
    return (int) INT.get(bytes, offset) & 0xffffffffL;
  }

  static long getLong(byte[] bytes, int offset) {
    return (long) LONG.get(bytes, offset);
  }

  static float getFloat(byte[] bytes, int offset) {
    return (float) FLOAT.get(bytes, offset);
  }

  static double getDouble(byte[] bytes, int offset) {
    return (double) DOUBLE.get(bytes, offset);
  }

  /**
   * Reads an endpoint ID: four address bytes and two port bytes. They are not interpreted: the ID
   * only identifies the endpoint, and {@link #putEndpointId} writes the same bytes again.
   */
  static long getEndpointId(byte[] bytes, int offset) {
    return getUnsignedInt(bytes, offset)
        | (long) getShort(bytes, offset + Integer.BYTES) << Integer.SIZE;
  }

  static void putShort(byte[] bytes, int offset, int value) {
    SHORT.set(bytes, offset, (short) value);
  }

  static void putInt(byte[] bytes, int offset, int value) {
    INT.set(bytes, offset, value);
  }

  static void putLong(byte[] bytes, int offset, long value) {
    LONG.set(bytes, offset, value);
  }

  static void putDouble(byte[] bytes, int offset, double value) {
    DOUBLE.set(bytes, offset, value);
  }

  static void putEndpointId(byte[] bytes, int offset, long endpointId) {
    putInt(bytes, offset, (int) endpointId);
    putShort(bytes, offset + Integer.BYTES, (int) (endpointId >>> Integer.SIZE));
  }
}
